import { waitForSocketEvents } from '@apricotrill/callers';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { getErrorText } from '../../observe/getErrorText.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { RelayMetrics } from '../../observe/RelayMetrics.js';
import type { ReplicaCheckParts } from '../../paths/ReplicaCheck/ReplicaCheck.js';
import type { RelayProtocol } from '../../protocol/RelayProtocol.js';
import { upstreamOptions } from '../upstreamOptions.js';
import type { ResponseHead } from '../UpstreamExchange/UpstreamExchange.js';
import { EndEvidence, isRunning } from './EndEvidence.js';
import { ReplicaIdentity } from './ReplicaIdentity.js';
import type { IdentifyReplica } from './ReplicaIdentity.js';

/** Dependencies of {@link EndConfirmation}. */
export interface EndConfirmationParts extends ReplicaCheckParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: Pick<RelayProtocol, 'readResponse'>;
  identify: IdentifyReplica;
  /** Whether the port of a replica accepts connections; undefined if nothing tells. */
  isListening: (replica: RelayReplica) => Promise<boolean | undefined>;
  /** Whether a connection to a replica is open that was opened before a point in time. */
  hasConnectionSince: (replica: RelayReplica, time: Milliseconds) => boolean;
}

/**
 * Confirms that responses without a length or chunks, which end with their connection, are complete. The
 * operating system closes the connections of a process that is killed in order, too, so that such a response
 * counts as complete only if the process of its replica still runs after its end.
 */
export class EndConfirmation {
  /** The check of each replica that is under way. */
  private readonly running = new Map<string, Promise<boolean>>();

  /** The check of each replica that follows it. */
  private readonly following = new Map<string, Promise<boolean>>();

  constructor(private readonly parts: EndConfirmationParts) {}

  /**
   * Whether a response that has just ended with its connection is complete. Responses that end while a replica
   * is being checked share its next check, since one that began earlier proves nothing.
   *
   * @returns never rejects
   */
  confirm(replica: RelayReplica, head: ResponseHead): Promise<boolean> {
    const { isMisdirected, isRefusal } = this.parts.protocol.readResponse(head);
    // The head is sufficient proof that the replica did not run the request.
    if (isRefusal || isMisdirected) {
      return Promise.resolve(true);
    }
    const running = this.running.get(replica.id);
    if (running === undefined) {
      return this.start(replica);
    }
    const following =
      this.following.get(replica.id) ??
      running.then(() => {
        this.following.delete(replica.id);
        return this.start(replica);
      });
    this.following.set(replica.id, following);
    return following;
  }

  private start(replica: RelayReplica): Promise<boolean> {
    const result = this.check(replica).finally(() => this.running.delete(replica.id));
    this.running.set(replica.id, result);
    return result;
  }

  private async check(replica: RelayReplica): Promise<boolean> {
    const { clock, log, metrics } = this.parts;
    const { id, service } = replica;
    const startedAt = clock.now();
    const evidence = await this.getEvidence(replica, startedAt);
    metrics.endChecks.inc({ service, evidence });
    log({ event: 'end-checked', replica: id, service, evidence, after: clock.now() - startedAt });
    return isRunning(evidence);
  }

  private async getEvidence(replica: RelayReplica, startedAt: Milliseconds): Promise<EndEvidence> {
    const { hasConnectionSince } = this.parts;
    const answer: { identity: ReplicaIdentity } = { identity: ReplicaIdentity.Unknown };
    const asked = this.ask(replica).then((identity) => Object.assign(answer, { identity }));
    const settled = this.wait(upstreamOptions.endSettleTime);
    await Promise.race([asked, settled]);
    const evidence = EndConfirmation.getDecision(answer.identity);
    if (evidence !== undefined) {
      return evidence;
    }
    const isRefused = answer.identity === ReplicaIdentity.None;
    if (isRefused && !hasConnectionSince(replica, startedAt)) {
      return EndEvidence.Refused;
    }
    await settled;
    await waitForSocketEvents();
    return hasConnectionSince(replica, startedAt)
      ? EndEvidence.Connected
      : this.getLateEvidence(replica, answer);
  }

  /** @param answer - what the replica has answered so far */
  private async getLateEvidence(
    replica: RelayReplica,
    answer: Readonly<{ identity: ReplicaIdentity }>,
  ): Promise<EndEvidence> {
    if (answer.identity === ReplicaIdentity.Unknown) {
      const accepts = await this.parts.isListening(replica);
      if (accepts !== undefined) {
        return accepts ? EndEvidence.Accepts : EndEvidence.Refused;
      }
    }
    return EndConfirmation.getDecision(answer.identity) ?? EndEvidence.None;
  }

  /** @returns undefined if other evidence has to decide */
  private static getDecision(identity: ReplicaIdentity): EndEvidence | undefined {
    switch (identity) {
      case ReplicaIdentity.Same:
        return EndEvidence.Identified;
      case ReplicaIdentity.Other:
        return EndEvidence.Replaced;
      case ReplicaIdentity.Anonymous:
      case ReplicaIdentity.None:
      case ReplicaIdentity.Unknown:
        return undefined;
      default:
        return identity satisfies never;
    }
  }

  private async ask(replica: RelayReplica): Promise<ReplicaIdentity> {
    const { getHealthPath, identify, log, mayCheck } = this.parts;
    const path = getHealthPath(replica);
    if (path === undefined || !mayCheck(replica)) {
      return ReplicaIdentity.Unknown;
    }
    try {
      return await identify(replica, path, upstreamOptions.endCheckTimeout);
    } catch (error) {
      log({ event: 'fault', step: 'identify a replica', error: getErrorText(error) });
      return ReplicaIdentity.Unknown;
    }
  }

  private wait(duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(duration, resolve);
    });
  }
}
