import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { AttemptEnd, CancelReason, Outcome, ProbeResult, RouteKind } from '@apricotrill/relay';
import type {
  PlacementCore,
  PlacementEffect,
  PlacementMessage,
  RelayReplica,
  SharedAttempt,
  PlacementUpdate,
} from '@apricotrill/relay';
import type { ApplicationSimulation } from './ApplicationSimulation.js';
import type { EngineSimulation } from './EngineSimulation.js';
import type { SimulatedCall } from './SimulatedCall.js';

/** The simulated network, engines and applications that a daemon talks to. */
export interface DaemonEnvironment {
  getDelay(zone: string, replica: RelayReplica): Milliseconds;
  recordSend(zone: string, replica: RelayReplica, call: SimulatedCall): void;
  /** How attempts of a daemon get to the replicas at the moment. */
  getPath(daemon: string): SimulatedPath;
  findEngine(id: string): EngineSimulation | undefined;
  findApplication(id: string): ApplicationSimulation | undefined;
}

/** How attempts of a daemon get to the replicas. */
export enum SimulatedPath {
  Direct = 'direct',
  /** The daemon is partitioned from the replicas, and no other daemon forwards its attempts. */
  None = 'none',
  /** Other daemons forward its attempts. */
  Forwarded = 'forwarded',
}

/** Settings of a simulated daemon. */
export interface DaemonSettings {
  clock: ManualClock;
  name: string;
  zone: string;
  environment: DaemonEnvironment;
  createCore: (emit: (effect: PlacementEffect) => void) => PlacementCore;
  /** Sends an update to one peer, or to all when `to` is undefined. */
  sendUpdate: (update: PlacementUpdate, to: string | undefined) => void;
}

type SendEffect = Extract<PlacementEffect, { kind: 'send' }>;

/** How often a caller submits a request again after a refusal. */
const MAX_RESUBMISSIONS = 1;

/** Time until a connection that hangs is given up. */
const CONNECT_TIMEOUT: Milliseconds = 400;

/** Time that the way through another daemon takes in addition, in each direction. */
const FORWARDING_DELAY: Milliseconds = 3;

/** Time in which an engine answers a liveness check. */
const LIVENESS_CHECK_TIME: Milliseconds = 5;

function getRouteKind(call: SimulatedCall): RouteKind {
  if (call.prompt !== undefined) {
    return RouteKind.Stream;
  }
  return call.kind.repeatable ? RouteKind.Idempotent : RouteKind.Once;
}

function getKey({ id, attempt }: { id: string; attempt: number }): string {
  return `${id}/${attempt}`;
}

/** Simulates one daemon: a real placement core, with simulated engines and applications for sockets. */
export class DaemonSimulation {
  private readonly core: PlacementCore;

  private readonly calls = new Map<string, SimulatedCall>();

  /** Engines whose cache events the daemon follows; undefined for all. */
  private followedEngines: ReadonlySet<string> | undefined;

  private readonly resubmissions = new Map<string, number>();

  /** The current attempt of each open call; events of earlier attempts are ignored. */
  private readonly currentAttempts = new Map<string, number>();

  /** The attempts whose first event has arrived, by their keys. */
  private readonly startedAttempts = new Set<string>();

  /** The replica that each attempt was sent to, by the key of the attempt. */
  private readonly replicaByAttempt = new Map<string, string>();

  constructor(private readonly settings: DaemonSettings) {
    this.core = settings.createCore((effect) => this.applyEffect(effect));
  }

  get name(): string {
    return this.settings.name;
  }

  handle(message: PlacementMessage): void {
    this.core.handle(message);
  }

  /** Whether the daemon follows the cache events of an engine. */
  isFollowing(engine: string): boolean {
    return this.followedEngines === undefined || this.followedEngines.has(engine);
  }

  /** The attempts in flight to announce to a peer, without their prompts. */
  getSharedAttempts(peer: string): SharedAttempt[] {
    const shared = this.core.getSharedAttempts();
    const attempts = shared.get(peer) ?? shared.get(undefined) ?? [];
    return attempts.map((attempt) => ({ ...attempt, prompt: undefined }));
  }

  handlePeerUpdate(peer: string, update: PlacementUpdate): void {
    this.core.handle({ kind: 'peer-update', peer, update });
  }

  submit(call: SimulatedCall): void {
    const { kind, id, prompt } = call;
    this.calls.set(id, call);
    this.core.handle({
      kind: 'submit',
      request: {
        id,
        fingerprint: id,
        route: kind.name,
        service: kind.service,
        kind: getRouteKind(call),
        isRetryable: kind.repeatable,
        workspace: call.workspace,
        rank: call.rank,
        maxAttempts: kind.maxAttempts,
        latencyTarget: kind.latencyTarget,
        pauseTarget: kind.pauseTarget,
        deadline: call.arrivedAt + kind.timeout,
        arrivedAt: call.arrivedAt,
        prompt,
      },
    });
  }

  private applyEffect(effect: PlacementEffect): void {
    switch (effect.kind) {
      case 'send':
        this.send(effect);
        break;
      case 'cancel':
        this.cancel(effect);
        break;
      case 'give-up':
        this.handleGiveUp(effect.id, effect.outcome, effect.retryAfter);
        break;
      case 'settle':
        this.calls.delete(effect.id);
        break;
      case 'share':
        this.settings.sendUpdate(effect.update, effect.to);
        break;
      case 'check-liveness':
        this.answerLivenessCheck(effect.replica.id);
        break;
      case 'keep':
      case 'replica-leaving':
      case 'replica-backed-off':
      case 'suspect':
      case 'mark-healthy':
      case 'start-cooldown':
      case 'group-chosen':
      case 'placed-for':
      case 'admission-decided':
      case 'queued':
      case 'not-admitted':
      case 'placer-silent':
      case 'response-unused':
      case 'crashed':
      case 'quarantined':
      case 'released':
      case 'trial':
      case 'limited':
      case 'unlimited':
      case 'limit-refused':
      case 'fragile':
      case 'robust':
      case 'threshold-refused':
      case 'turned-away':
      case 'replica-held':
        break;
      case 'probe':
        this.answerProbe(effect.replica.id);
        break;
      case 'follow-caches':
        this.followedEngines = effect.engines;
        break;
      case 'fault':
        throw effect.error;
      default:
        effect satisfies never;
    }
  }

  private send(effect: SendEffect): void {
    const { clock, environment, zone } = this.settings;
    const { id, attempt, replica, choice } = effect;
    const call = this.calls.get(id)!;
    this.currentAttempts.set(id, attempt);
    call.attempts += 1;
    call.predictedFirstEvent ??= choice.expected;
    environment.recordSend(zone, replica, call);
    this.replicaByAttempt.set(getKey(effect), replica.id);
    if (this.path === SimulatedPath.None) {
      clock.setTimer(CONNECT_TIMEOUT, () => this.reportAttemptEnd(effect, AttemptEnd.NotSent));
      return;
    }
    clock.setTimer(this.getDelay(replica), () => {
      if (this.currentAttempts.get(id) !== attempt) {
        return;
      }
      const isAccepted =
        call.prompt === undefined ? this.startPlain(effect, call) : this.startStream(effect, call);
      if (!isAccepted) {
        this.endAfterNetworkDelay(effect, AttemptEnd.Refused);
      }
    });
  }

  private startPlain(effect: SendEffect, call: SimulatedCall): boolean {
    const replica = this.settings.environment.findApplication(effect.replica.id)!;
    return replica.submit({
      key: getKey(effect),
      serviceTime: call.serviceTime,
      onEnd: () =>
        this.afterNetworkDelay(effect, () => {
          this.recordEvent(effect, call, replica.load);
          this.endAttempt(effect, call, true);
        }),
    });
  }

  private startStream(effect: SendEffect, call: SimulatedCall): boolean {
    const { environment } = this.settings;
    const engine = environment.findEngine(effect.replica.id)!;
    if (engine.isDown) {
      this.endAfterNetworkDelay(effect, AttemptEnd.NotSent);
      return true;
    }
    const { clock, name: daemon } = this.settings;
    engine.arrivals.push({ at: clock.now(), daemon, submittedAt: call.arrivedAt });
    const { requestedBackoff: span } = engine;
    if (span !== undefined) {
      const { id: replica } = effect.replica;
      this.afterNetworkDelay(effect, () => {
        this.core.handle({ kind: 'backoff', replica, span, source: 'response' });
        this.reportAttemptEnd(effect, AttemptEnd.Refused);
      });
      return true;
    }
    const { fetchFrom } = effect.choice;
    const request = {
      key: getKey(effect),
      rank: call.rank,
      priority: call.kind.priority,
      prompt: call.prompt!,
      outputTokens: call.outputTokens,
      onEvent: () =>
        this.afterNetworkDelay(effect, () => {
          if (engine.isLeaving) {
            const { id: replica } = effect.replica;
            this.core.handle({ kind: 'leaving', replica, source: 'response' });
          }
          this.recordEvent(effect, call, engine.load);
        }),
      onEnd: (isComplete: boolean) =>
        this.afterNetworkDelay(effect, () => this.endAttempt(effect, call, isComplete)),
    };
    return engine.submit(
      request,
      fetchFrom === undefined ? undefined : environment.findEngine(fetchFrom.id),
    );
  }

  private get path(): SimulatedPath {
    const { environment, name } = this.settings;
    return environment.getPath(name);
  }

  /** One-way delay between this daemon and a replica. */
  private getDelay(replica: RelayReplica): Milliseconds {
    const { environment, zone } = this.settings;
    const forwardingDelay = this.path === SimulatedPath.Forwarded ? FORWARDING_DELAY : 0;
    return environment.getDelay(zone, replica) + forwardingDelay;
  }

  /** Runs the callback after the network delay from the replica, unless the attempt is over by then. */
  private afterNetworkDelay({ id, attempt, replica }: SendEffect, callback: () => void): void {
    const { clock } = this.settings;
    clock.setTimer(this.getDelay(replica), () => {
      if (this.currentAttempts.get(id) === attempt) {
        callback();
      }
    });
  }

  private recordEvent(
    { id, attempt, replica }: SendEffect,
    call: SimulatedCall,
    report: EngineSimulation['load'],
  ) {
    const now = this.settings.clock.now();
    const key = getKey({ id, attempt });
    if (call.prompt !== undefined && !this.startedAttempts.has(key)) {
      this.startedAttempts.add(key);
      call.writers.push(replica.softwareVersion);
      this.core.handle({ kind: 'stream-started', id, attempt });
    }
    if (call.firstEvent === undefined) {
      Object.assign(call, { firstEvent: now - call.arrivedAt });
      this.core.handle({ kind: 'load', replica: replica.id, report });
      this.core.handle({ kind: 'first-byte-received', id, attempt });
    } else {
      const pause = now - call.lastEvent!;
      Object.assign(call, { longestPause: Math.max(call.longestPause, pause) });
    }
    Object.assign(call, { lastEvent: now });
  }

  private endAttempt(effect: SendEffect, call: SimulatedCall, isComplete: boolean): void {
    Object.assign(call, { isComplete });
    this.reportAttemptEnd(effect, isComplete ? AttemptEnd.Completed : AttemptEnd.Broken);
  }

  private endAfterNetworkDelay(effect: SendEffect, end: AttemptEnd): void {
    this.afterNetworkDelay(effect, () => this.reportAttemptEnd(effect, end));
  }

  private reportAttemptEnd({ id, attempt }: SendEffect, end: AttemptEnd): void {
    this.currentAttempts.delete(id);
    this.startedAttempts.delete(getKey({ id, attempt }));
    this.replicaByAttempt.delete(getKey({ id, attempt }));
    this.core.handle({ kind: 'attempt-ended', id, attempt, end });
  }

  private cancel({ id, attempt, reason }: Extract<PlacementEffect, { kind: 'cancel' }>): void {
    const { clock } = this.settings;
    this.currentAttempts.delete(id);
    this.cancelAtReplica(getKey({ id, attempt }));
    if (reason === CancelReason.Silent) {
      clock.setTimer(0, () =>
        this.core.handle({ kind: 'attempt-ended', id, attempt, end: AttemptEnd.Cancelled }),
      );
    }
  }

  private answerLivenessCheck(replica: string): void {
    const { clock, environment } = this.settings;
    clock.setTimer(LIVENESS_CHECK_TIME, () => {
      const isAlive = environment.findEngine(replica)?.isDown === false;
      this.core.handle({ kind: 'liveness-checked', replica, isAlive });
    });
  }

  private answerProbe(replica: string): void {
    const { clock, environment } = this.settings;
    clock.setTimer(LIVENESS_CHECK_TIME, () => {
      const isDown = environment.findEngine(replica)?.isDown === true;
      const reached = this.path === SimulatedPath.Direct ? ProbeResult.Up : ProbeResult.PathLost;
      const result = isDown ? ProbeResult.Down : reached;
      this.core.handle({ kind: 'probed', replica, result });
    });
  }

  /** Removes a cancelled attempt from its replica. */
  private cancelAtReplica(key: string): void {
    const { environment } = this.settings;
    const replica = this.replicaByAttempt.get(key);
    if (replica !== undefined) {
      environment.findEngine(replica)?.cancel(key);
      environment.findApplication(replica)?.cancel(key);
      this.replicaByAttempt.delete(key);
    }
  }

  private handleGiveUp(id: string, outcome: Outcome, retryAfter: Milliseconds | undefined): void {
    const call = this.calls.get(id);
    this.calls.delete(id);
    const resubmissions = this.resubmissions.get(id) ?? 0;
    if (call !== undefined && outcome === Outcome.NotRun && resubmissions < MAX_RESUBMISSIONS) {
      this.resubmissions.set(id, resubmissions + 1);
      this.settings.clock.setTimer(retryAfter ?? 0, () => this.submit(call));
    }
  }
}
