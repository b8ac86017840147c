import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { AttemptEnd, CancelReason, Outcome, RouteKind } from '@apricotrill/relay';
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

/** What a daemon sees of the world around it. */
export interface DaemonWorld {
  getDelay(zone: string, replica: RelayReplica): Milliseconds;
  noteSent(zone: string, replica: RelayReplica, call: SimulatedCall): void;
  findEngine(id: string): EngineSimulation | undefined;
  findApplication(id: string): ApplicationSimulation | undefined;
}

/** What a daemon is made of. */
export interface DaemonParts {
  clock: ManualClock;
  zone: string;
  world: DaemonWorld;
  createCore: (emit: (effect: PlacementEffect) => void) => PlacementCore;
  /** Tells one daemon, or all where none is named. */
  tellOthers: (news: PlacementUpdate, to: string | undefined) => void;
}

type Send = Extract<PlacementEffect, { kind: 'send' }>;

/** How often callers come back after a refusal. */
const RETURNS = 1;

/** What an engine takes to say that it lives. */
const QUESTION_TIME: Milliseconds = 5;

function getRouteKind(call: SimulatedCall): RouteKind {
  if (call.prompt !== undefined) {
    return RouteKind.Stream;
  }
  return call.kind.repeatable ? RouteKind.Idempotent : RouteKind.Once;
}

function getKey({ id, attempt }: { id: string; attempt: number }): string {
  return `${id}/${attempt}`;
}

/** One daemon: its placement core, and in place of sockets the models of what it talks to. */
export class DaemonSimulation {
  private readonly core: PlacementCore;

  private readonly calls = new Map<string, SimulatedCall>();

  /** Engines whose cache events it reads; undefined for all. */
  private followed: ReadonlySet<string> | undefined;

  private readonly returns = new Map<string, number>();

  /** The attempt of each open call whose events still count. */
  private readonly current = new Map<string, number>();

  /** Where each attempt that was sent runs. */
  private readonly replicaOf = new Map<string, string>();

  constructor(private readonly parts: DaemonParts) {
    this.core = parts.createCore((effect) => this.perform(effect));
  }

  handle(message: PlacementMessage): void {
    this.core.handle(message);
  }

  /** Whether it reads an engine's cache events. */
  isFollowing(engine: string): boolean {
    return this.followed === undefined || this.followed.has(engine);
  }

  /** All that it has under way, for one of the others. */
  getSharedAttempts(peer: string): SharedAttempt[] {
    const shared = this.core.getSharedAttempts();
    const attempts = shared.get(peer) ?? shared.get(undefined) ?? [];
    return attempts.map((attempt) => ({ ...attempt, prompt: undefined }));
  }

  hear(peer: string, news: PlacementUpdate): void {
    this.core.handle({ kind: 'peer-update', peer, update: news });
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
        workspace: 'w',
        rank: kind.rank,
        maxAttempts: kind.maxAttempts,
        latencyTarget: kind.latencyTarget,
        pauseTarget: kind.pauseTarget,
        deadline: call.arrived + kind.timeout,
        arrivedAt: call.arrived,
        prompt,
      },
    });
  }

  private perform(effect: PlacementEffect): void {
    switch (effect.kind) {
      case 'send':
        this.send(effect);
        break;
      case 'cancel':
        this.cancel(effect);
        break;
      case 'give-up':
        this.giveUp(effect.id, effect.outcome, effect.retryAfter);
        break;
      case 'settle':
        this.calls.delete(effect.id);
        break;
      case 'share':
        this.parts.tellOthers(effect.update, effect.to);
        break;
      case 'check-liveness':
        this.answerQuestion(effect.replica.id);
        break;
      case 'suspect':
      case 'mark-healthy':
      case 'start-cooldown':
      case 'placed-for':
      case 'placer-silent':
      case 'crashed':
      case 'quarantined':
      case 'released':
      case 'limited':
      case 'unlimited':
      case 'limit-refused':
        break;
      case 'probe':
        this.answerProbe(effect.replica.id);
        break;
      case 'follow-caches':
        this.followed = effect.engines;
        break;
      default:
        effect satisfies never;
    }
  }

  private send(effect: Send): void {
    const { clock, world, zone } = this.parts;
    const { id, attempt, replica, choice } = effect;
    const call = this.calls.get(id)!;
    this.current.set(id, attempt);
    call.attempts += 1;
    call.expected ??= choice.expected;
    world.noteSent(zone, replica, call);
    this.replicaOf.set(getKey(effect), replica.id);
    const delay = world.getDelay(zone, replica);
    clock.setTimer(delay, () => {
      if (this.current.get(id) !== attempt) {
        return;
      }
      const isTaken =
        call.prompt === undefined ? this.runPlain(effect, call) : this.runStream(effect, call);
      if (!isTaken) {
        this.endLater(effect, AttemptEnd.Refused);
      }
    });
  }

  private runPlain(effect: Send, call: SimulatedCall): boolean {
    const replica = this.parts.world.findApplication(effect.replica.id)!;
    return replica.submit({
      key: getKey(effect),
      work: call.work,
      onEnd: () =>
        this.later(effect, () => {
          this.noteEvent(effect, call, replica.load);
          this.endAttempt(effect, call, true);
        }),
    });
  }

  private runStream(effect: Send, call: SimulatedCall): boolean {
    const { world } = this.parts;
    const engine = world.findEngine(effect.replica.id)!;
    if (engine.isDown) {
      this.endLater(effect, AttemptEnd.NotSent);
      return true;
    }
    const { fetchFrom } = effect.choice;
    const run = {
      key: getKey(effect),
      rank: call.kind.rank,
      prompt: call.prompt!,
      outputTokens: call.outputTokens,
      onEvent: () => this.later(effect, () => this.noteEvent(effect, call, engine.load)),
      onEnd: (isWhole: boolean) => this.later(effect, () => this.endAttempt(effect, call, isWhole)),
    };
    return engine.submit(run, fetchFrom === undefined ? undefined : world.findEngine(fetchFrom.id));
  }

  /** Acts once the word of the replica has reached the daemon, unless the attempt is over by then. */
  private later({ id, attempt, replica }: Send, act: () => void): void {
    const { clock, world, zone } = this.parts;
    clock.setTimer(world.getDelay(zone, replica), () => {
      if (this.current.get(id) === attempt) {
        act();
      }
    });
  }

  private noteEvent(
    { id, attempt, replica }: Send,
    call: SimulatedCall,
    report: EngineSimulation['load'],
  ) {
    const now = this.parts.clock.now();
    if (call.firstEvent === undefined) {
      Object.assign(call, { firstEvent: now - call.arrived });
      this.core.handle({ kind: 'load', replica: replica.id, report });
      this.core.handle({ kind: 'first-byte-received', id, attempt });
    } else {
      const pause = now - call.lastEvent!;
      Object.assign(call, { longestPause: Math.max(call.longestPause, pause) });
    }
    Object.assign(call, { lastEvent: now });
  }

  private endAttempt(effect: Send, call: SimulatedCall, isWhole: boolean): void {
    Object.assign(call, { isWhole });
    this.end(effect, isWhole ? AttemptEnd.Completed : AttemptEnd.Broken);
  }

  private endLater(effect: Send, end: AttemptEnd): void {
    this.later(effect, () => this.end(effect, end));
  }

  private end({ id, attempt }: Send, end: AttemptEnd): void {
    this.current.delete(id);
    this.replicaOf.delete(getKey({ id, attempt }));
    this.core.handle({ kind: 'attempt-ended', id, attempt, end });
  }

  private cancel({ id, attempt, reason }: Extract<PlacementEffect, { kind: 'cancel' }>): void {
    const { clock } = this.parts;
    this.current.delete(id);
    this.stop(getKey({ id, attempt }));
    if (reason === CancelReason.Silent) {
      clock.setTimer(0, () =>
        this.core.handle({ kind: 'attempt-ended', id, attempt, end: AttemptEnd.Cancelled }),
      );
    }
  }

  private answerQuestion(replica: string): void {
    const { clock, world } = this.parts;
    clock.setTimer(QUESTION_TIME, () => {
      const isAlive = world.findEngine(replica)?.isDown === false;
      this.core.handle({ kind: 'liveness-checked', replica, isAlive });
    });
  }

  private answerProbe(replica: string): void {
    const { clock, world } = this.parts;
    clock.setTimer(QUESTION_TIME, () => {
      const isUp = world.findEngine(replica)?.isDown === false;
      this.core.handle({ kind: 'probed', replica, isUp });
    });
  }

  /** The replica drops what is cancelled. */
  private stop(key: string): void {
    const { world } = this.parts;
    const replica = this.replicaOf.get(key);
    if (replica !== undefined) {
      world.findEngine(replica)?.cancel(key);
      world.findApplication(replica)?.cancel(key);
      this.replicaOf.delete(key);
    }
  }

  private giveUp(id: string, outcome: Outcome, retryAfter: Milliseconds | undefined): void {
    const call = this.calls.get(id);
    this.calls.delete(id);
    const returns = this.returns.get(id) ?? 0;
    if (call !== undefined && outcome === Outcome.NotRun && returns < RETURNS) {
      this.returns.set(id, returns + 1);
      this.parts.clock.setTimer(retryAfter ?? 0, () => this.submit(call));
    }
  }
}
