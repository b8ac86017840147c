import { defaultClaimOptions, getClaimName, getClaimShard } from '@apricotrill/claims';
import type { FleetDaemon } from './FleetDaemon.js';
import type { EntryDaemon, FleetCaller } from './FleetCaller.js';
import { pollUntil } from './pollUntil.js';

/** The only workspace of the tests. */
const WORKSPACE = 'painotalo';

export const SHARDS = defaultClaimOptions.shards;

/** A shard of claims according to its owner's log. */
export interface OwnedShard {
  owner: FleetDaemon;
  witness?: string;
  epoch: number;
}

let lastKey = 0;

/** Creates a new key that belongs to this shard. */
export function createKey(shard: number): string {
  for (;;) {
    lastKey += 1;
    const key = `hold-${lastKey}`;
    if (getClaimShard(getClaimName(WORKSPACE, key), SHARDS) === shard) {
      return key;
    }
  }
}

/** Returns the shards that a daemon's running process owns. */
function getOwnedShards(daemon: FleetDaemon): Map<number, OwnedShard> {
  const owned = new Map<number, OwnedShard>();
  daemon.getDecisions('claim').forEach(({ kind, shard, witness, epoch }) => {
    if (kind === 'shard-taken' || kind === 'witness-changed') {
      const rest = { witness: witness as string | undefined, epoch: Number(epoch) };
      owned.set(Number(shard), { owner: daemon, ...rest });
    } else if (kind === 'shard-left') {
      owned.delete(Number(shard));
    }
  });
  return owned;
}

/**
 * Returns the owner of each shard among these daemons, which is the one with the newest epoch. While a
 * fleet starts, several daemons may take the same shard in turn, and an earlier owner does not notice
 * this until it is queried.
 */
export function getShards(daemons: readonly FleetDaemon[]): Map<number, OwnedShard> {
  const byEpoch = daemons.flatMap((daemon) => [...getOwnedShards(daemon)]);
  byEpoch.sort(([, left], [, right]) => left.epoch - right.epoch);
  return new Map(byEpoch);
}

/**
 * Places a hold in each shard and expects all to be answered on the first call.
 *
 * @returns the keys, by shard
 */
export async function placeHolds(caller: FleetCaller, entry: EntryDaemon): Promise<string[]> {
  const keys = Array.from({ length: SHARDS }, (_, shard) => createKey(shard));
  const answers = await Promise.all(keys.map((key) => caller.placeHold(entry, key)));
  expect(answers.map(({ end }) => end.kind)).toEqual(keys.map(() => 'answered'));
  return keys;
}

/**
 * Places holds until every shard has an owner among these daemons, and waits until every shard has a
 * witness among them too.
 */
export async function startShards(
  daemons: readonly FleetDaemon[],
  caller: FleetCaller,
): Promise<ReadonlyMap<number, OwnedShard>> {
  const keys = Array.from({ length: SHARDS }, (_, shard) => createKey(shard));
  await Promise.all(keys.map((key) => caller.placeHoldUntilAnswered(daemons[0]!, key)));
  const ids = daemons.map(({ id }) => id);
  return pollUntil(
    () => Promise.resolve(getShards(daemons)),
    (shards) =>
      shards.size === SHARDS && [...shards.values()].every(({ witness }) => ids.includes(witness!)),
  );
}
