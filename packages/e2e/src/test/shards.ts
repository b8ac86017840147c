import { defaultClaimOptions, getClaimName, getClaimShard } from '@apricotrill/claims';
import type { FleetDaemon } from './FleetDaemon.js';
import type { Entry, FleetCaller } from './FleetCaller.js';
import { pollUntil } from './pollUntil.js';

/** The only workspace of the tests. */
const WORKSPACE = 'painotalo';

export const SHARDS = defaultClaimOptions.shards;

/** A shard of claims as its owner's log tells. */
export interface OwnedShard {
  owner: FleetDaemon;
  witness?: string;
  epoch: number;
}

let lastKey = 0;

/** A key never used before, of this shard. */
export function createKey(shard: number): string {
  for (;;) {
    lastKey += 1;
    const key = `hold-${lastKey}`;
    if (getClaimShard(getClaimName(WORKSPACE, key), SHARDS) === shard) {
      return key;
    }
  }
}

/** The shards that a daemon's running process owns. */
function getOwned(daemon: FleetDaemon): Map<number, OwnedShard> {
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
 * Which of these daemons owns each shard: the one of the newest epoch. As a fleet starts, several may
 * have taken a shard one after the other, and the first doesn't know until it is asked.
 */
export function getShards(daemons: readonly FleetDaemon[]): Map<number, OwnedShard> {
  const byEpoch = daemons.flatMap((daemon) => [...getOwned(daemon)]);
  byEpoch.sort(([, left], [, right]) => left.epoch - right.epoch);
  return new Map(byEpoch);
}

/** Places a hold in each shard, and is answered at once. @returns the keys, by shard */
export async function placeHolds(caller: FleetCaller, entry: Entry): Promise<string[]> {
  const keys = Array.from({ length: SHARDS }, (_, shard) => createKey(shard));
  const answers = await Promise.all(keys.map((key) => caller.hold(entry, key)));
  expect(answers.map(({ end }) => end.kind)).toEqual(keys.map(() => 'answered'));
  return keys;
}

/**
 * Has the first callers' holds bring every shard an owner among these daemons, and waits until each
 * has a witness among them too.
 */
export async function startShards(
  daemons: readonly FleetDaemon[],
  caller: FleetCaller,
): Promise<ReadonlyMap<number, OwnedShard>> {
  const keys = Array.from({ length: SHARDS }, (_, shard) => createKey(shard));
  await Promise.all(keys.map((key) => caller.holdUntilAnswered(daemons[0]!, key)));
  const ids = daemons.map(({ id }) => id);
  return pollUntil(
    () => Promise.resolve(getShards(daemons)),
    (shards) =>
      shards.size === SHARDS && [...shards.values()].every(({ witness }) => ids.includes(witness!)),
  );
}
