import type { RelayReplica } from '../config/RelayConfiguration.js';
import type { PlacementEffect, PlacementMessage } from '../decide/messages.js';
import { isPartFingerprint } from '../decide/quarantine/getFingerprints/getFingerprints.js';
import { getErrorText } from '../observe/getErrorText.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import type { PathMonitor } from '../paths/PathMonitor/PathMonitor.js';
import type { PeerLink } from '../peers/PeerLink/PeerLink.js';
import type { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';
import type { HealthChecks } from './HealthChecks/HealthChecks.js';
import type { QuarantineSync } from './QuarantineSync/QuarantineSync.js';
import type { ReplicaWatch } from './ReplicaWatch.js';
import type { RequestIntake } from './RequestIntake.js';

/** Dependencies of {@link EffectPerformer}. */
export interface EffectPerformerParts {
  log: RelayLog;
  metrics: RelayMetrics;
  intake: RequestIntake;
  peerLink: PeerLink;
  replicaWatch: ReplicaWatch;
  healthChecks: HealthChecks;
  quarantineSync: QuarantineSync;
  connections: UpstreamConnections;
  paths: PathMonitor;
  dispatch: (message: PlacementMessage) => void;
}

/** Limit on fingerprints in one log line. */
const MAX_LOGGED_FINGERPRINTS = 20;

/** Carries out and logs the decisions of the placement core. */
export class EffectPerformer {
  constructor(private readonly parts: EffectPerformerParts) {}

  /** Performs an effect. If that throws, only the request of the effect ends, if it has one. */
  perform(effect: PlacementEffect): void {
    try {
      this.tryPerform(effect);
    } catch (error) {
      const task = 'id' in effect ? this.parts.intake.getTask(effect.id ?? '') : undefined;
      const step = `perform ${effect.kind}`;
      if (task === undefined) {
        this.parts.log({ event: 'fault', step, error: getErrorText(error) });
      } else {
        task.fail(step, error);
      }
    }
  }

  private tryPerform(effect: PlacementEffect): void {
    const {
      healthChecks,
      connections,
      intake,
      peerLink,
      log,
      metrics,
      quarantineSync,
      replicaWatch,
    } = this.parts;
    switch (effect.kind) {
      case 'send':
        intake.getTask(effect.id)?.send(effect);
        break;
      case 'cancel':
        intake.getTask(effect.id)?.cancel(effect);
        break;
      case 'keep': {
        const { id, attempt, reason, because } = effect;
        log({ event: 'attempt-kept', id, attempt, reason, because });
        break;
      }
      case 'give-up':
        intake.getTask(effect.id)?.giveUp(effect);
        break;
      case 'settle':
        intake.getTask(effect.id)?.complete();
        break;
      case 'share':
        peerLink.send(effect.update, effect.to);
        break;
      case 'placed-for': {
        const { peer, key, choice } = effect;
        log({ event: 'placed-for', peer, key, replica: effect.replica.id, choice });
        break;
      }
      case 'admission-decided':
        log({ event: 'admission-decided', ...effect.record });
        metrics.admission.record(effect.record);
        break;
      case 'queued': {
        const { id, key, placer, waited, expectedWait } = effect;
        log({ event: 'queued', id, key, placer, waited, expectedWait });
        break;
      }
      case 'not-admitted': {
        const { id, key, placer, waited, retryAfter } = effect;
        log({ event: 'not-admitted', id, key, placer, waited, retryAfter });
        break;
      }
      case 'group-chosen':
        this.recordGroup(effect);
        break;
      case 'placer-silent':
        this.recordSilence(effect);
        break;
      case 'response-unused':
        log({ event: 'response-unused', peer: effect.peer, key: effect.key });
        break;
      case 'follow-caches':
        replicaWatch.setFollowedEngines(effect.engines);
        break;
      case 'check-liveness': {
        const { id, service } = effect.replica;
        log({ event: 'replica-questioned', replica: id, service });
        healthChecks.checkLiveness(effect.replica);
        break;
      }
      case 'probe':
        this.probe(effect.replica).catch((error: unknown) => {
          log({ event: 'fault', step: 'probe a replica', error: String(error) });
        });
        break;
      case 'crashed': {
        const { replica, fingerprints } = effect;
        metrics.replicaCrashes.inc();
        const first = fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS);
        const suspects = fingerprints.length;
        log({ event: 'replica-crashed', replica, suspects, fingerprints: first });
        break;
      }
      case 'quarantined': {
        const { content, isOwn } = effect;
        const { fingerprint, replicas } = content;
        const event = isPartFingerprint(fingerprint) ? 'part-quarantined' : 'request-quarantined';
        metrics.quarantines.inc();
        log({ event, fingerprint, replicas, isOwn });
        if (isOwn) {
          quarantineSync.save(content).catch((error: unknown) => {
            log({ event: 'fault', step: 'save quarantine', error: String(error) });
          });
        }
        break;
      }
      case 'trial':
        log({ event: 'part-tried', fingerprint: effect.fingerprint });
        break;
      case 'released': {
        const { fingerprint, isOwn } = effect;
        const event = isPartFingerprint(fingerprint) ? 'part-released' : 'request-released';
        log({ event, fingerprint, isOwn });
        if (isOwn) {
          quarantineSync.remove(fingerprint).catch((error: unknown) => {
            log({ event: 'fault', step: 'remove quarantine', error: String(error) });
          });
        }
        break;
      }
      case 'limited': {
        const { replica, perSecond, previous } = effect;
        log({ event: 'replica-limited', replica, perSecond, previous });
        break;
      }
      case 'unlimited':
        log({ event: 'replica-unlimited', replica: effect.replica });
        break;
      case 'limit-refused':
        log({ event: 'limit-refused', replica: effect.replica, text: effect.text });
        break;
      case 'fragile':
        log({ event: 'replica-fragile', replica: effect.replica, threshold: effect.threshold });
        break;
      case 'robust':
        log({ event: 'replica-robust', replica: effect.replica });
        break;
      case 'threshold-refused':
        log({ event: 'threshold-refused', replica: effect.replica, text: effect.text });
        break;
      case 'turned-away': {
        const { replica, threshold, inFlight, reported } = effect;
        log({ event: 'turned-away', replica, threshold, inFlight, reported });
        break;
      }
      case 'replica-held': {
        const { replica, rejections, span } = effect;
        log({ event: 'replica-held', replica, rejections, span });
        break;
      }
      case 'replica-leaving': {
        const { replica, source } = effect;
        log({ event: 'replica-leaving', replica, source });
        break;
      }
      case 'replica-backed-off': {
        const { replica, span, source } = effect;
        log({ event: 'replica-backed-off', replica, span, source });
        break;
      }
      case 'suspect': {
        const { replica, reason } = effect;
        const { id, service } = replica;
        log({ event: 'replica-suspect', replica: id, service, reason });
        connections.closeIdle(replica.id);
        healthChecks.start(replica);
        break;
      }
      case 'mark-healthy': {
        const { id, service } = effect.replica;
        healthChecks.stop(id);
        log({ event: 'replica-trusted', replica: id, service });
        break;
      }
      case 'start-cooldown': {
        const { replica, span } = effect;
        const { id, service } = replica;
        log({ event: 'replica-avoided', replica: id, service, span });
        break;
      }
      case 'fault': {
        const { id, step, error } = effect;
        if (id !== undefined) {
          metrics.requestFaults.inc();
        }
        log({ event: 'fault', id, step, error: getErrorText(error) });
        break;
      }
      default:
        effect satisfies never;
    }
  }

  private recordSilence(effect: Extract<PlacementEffect, { kind: 'placer-silent' }>): void {
    const { peer, span, lastResponseAge, pending } = effect;
    this.parts.log({ event: 'placer-silent', peer, span, lastResponseAge, pending });
  }

  private recordGroup(effect: Extract<PlacementEffect, { kind: 'group-chosen' }>): void {
    const { log, metrics } = this.parts;
    const { id, service, group, home, reason, load, homeLoad } = effect;
    metrics.countGroupChoice(service, group, reason);
    if (group !== home) {
      log({ event: 'sent-elsewhere', id, group, home, reason, load, homeLoad });
    }
  }

  private async probe(replica: RelayReplica): Promise<void> {
    const { dispatch, paths } = this.parts;
    const result = await paths.probe(replica);
    dispatch({ kind: 'probed', replica: replica.id, result });
  }
}
