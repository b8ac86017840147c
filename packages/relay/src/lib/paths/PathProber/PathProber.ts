import type { Clock } from '@apricotrill/utils';
import * as z from 'zod';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { ProbeResult } from '../../decide/messages.js';
import { HttpClient, parseJson } from '../../http/HttpClient.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { pathOptions } from '../pathOptions.js';
import { isReached } from '../ReplicaCheck/ReplicaCheck.js';
import type { CheckResult } from '../ReplicaCheck/ReplicaCheck.js';
import { REACHABILITY_PATH } from '../ReachabilityServer/ReachabilityServer.js';

/** Dependencies of {@link PathProber}. */
export interface PathProberParts {
  clock: Clock;
  log: RelayLog;
  check: (replica: RelayReplica) => Promise<CheckResult>;
  /** Like `check`, but shares no check that has already begun. */
  checkAnew: (replica: RelayReplica) => Promise<CheckResult>;
  /** Returns peers that are likely to reach the replicas, the best first. */
  getPeers: (count: number) => PeerEntry[];
}

/** The result of a probe. */
export interface ProbeOutcome {
  result: ProbeResult;
  /** Whether this daemon reaches the replica; undefined if that is not certain. */
  own: boolean | undefined;
}

const OK = 200;

const responseSchema = z.object({ isUp: z.boolean().nullable() });

/** Finds out whether a replica is down, or only the path from this daemon to it. */
export class PathProber {
  private readonly client = new HttpClient();

  private readonly pending = new Map<string, Promise<ProbeOutcome>>();

  constructor(private readonly parts: PathProberParts) {}

  /** Probes a replica. Concurrent probes of the same replica share their result. */
  probe(replica: RelayReplica): Promise<ProbeOutcome> {
    const known = this.pending.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const outcome = this.run(replica).finally(() => this.pending.delete(replica.id));
    this.pending.set(replica.id, outcome);
    return outcome;
  }

  async dispose(): Promise<void> {
    await this.client.dispose();
  }

  private async run(replica: RelayReplica): Promise<ProbeOutcome> {
    const { clock, log, check, checkAnew, getPeers } = this.parts;
    const startedAt = clock.now();
    const own = isReached(await check(replica));
    if (own === true) {
      return { result: ProbeResult.Up, own };
    }
    const ownAfter = clock.now() - startedAt;
    const peers = getPeers(pathOptions.askedPeers);
    const answers = await Promise.all(peers.map((peer) => this.ask(peer, replica)));
    // The replica may have gone on since the first check, and peers have observed it later.
    const again = answers.includes(true) ? isReached(await checkAnew(replica)) : undefined;
    const result = again === true ? ProbeResult.Up : PathProber.evaluate(own, answers);
    const { id, service } = replica;
    const after = clock.now() - startedAt;
    const asked = peers.map((peer) => peer.id);
    log({
      event: 'replica-probed',
      replica: id,
      service,
      own,
      asked,
      answers,
      again,
      result,
      ownAfter,
      after,
    });
    return { result, own: again ?? own };
  }

  /** @param own - this daemon's own observation, which is not that the replica is up */
  private static evaluate(
    own: boolean | undefined,
    answers: readonly (boolean | undefined)[],
  ): ProbeResult {
    if (answers.includes(true)) {
      return ProbeResult.PathLost;
    }
    const isRefused = answers.includes(false) || (own === false && answers.length === 0);
    return isRefused ? ProbeResult.Down : ProbeResult.Unknown;
  }

  /** Asks a peer whether it reaches a replica; undefined if that is not certain. */
  private async ask(
    { id, address }: PeerEntry,
    replica: RelayReplica,
  ): Promise<boolean | undefined> {
    const step = `ask ${id} for the path to ${replica.id}`;
    try {
      const { status, text } = await this.client.send({
        step,
        method: 'GET',
        address,
        path: `${REACHABILITY_PATH}/${encodeURIComponent(replica.id)}`,
        timeout: pathOptions.askTimeout,
      });
      if (status !== OK) {
        return undefined;
      }
      return responseSchema.parse(parseJson(text, step, address)).isUp ?? undefined;
    } catch (error) {
      this.parts.log({ event: 'fault', step, error: String(error) });
      return undefined;
    }
  }
}
