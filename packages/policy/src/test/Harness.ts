import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type {
  AttemptStatus,
  ScheduledRequest,
  SchedulerEffect,
  SchedulerMessage,
} from '../lib/messages.js';
import type { PolicyOptions } from '../lib/policyOptions.js';
import { Scheduler } from '../lib/Scheduler/Scheduler.js';
import { createReplica } from './fixtures.js';

type Effect<Kind extends SchedulerEffect['kind']> = Extract<SchedulerEffect, { kind: Kind }>;

/** The settings of a harness. */
export interface HarnessSettings {
  options?: Partial<PolicyOptions>;
  /** Initial number of replicas; default 1. */
  replicas?: number;
  slots?: number;
}

/** Runs a scheduler on a manual clock and records its effects. */
export class Harness {
  readonly clock = new ManualClock(1_000_000);

  readonly effects: SchedulerEffect[] = [];

  readonly scheduler: Scheduler;

  constructor({ options, replicas = 1, slots = 2 }: HarnessSettings = {}) {
    this.scheduler = new Scheduler({
      clock: this.clock,
      random: createRandom(7),
      options,
      emit: (effect) => this.effects.push(effect),
    });
    const list = Array.from({ length: replicas }, (_, index) =>
      createReplica(`replica-${index + 1}`, { slots }),
    );
    this.send({ kind: 'replicas', replicas: list });
  }

  /** Sends a message and returns the resulting effects. */
  send(message: SchedulerMessage): SchedulerEffect[] {
    const before = this.effects.length;
    this.scheduler.handle(message);
    return this.effects.slice(before);
  }

  /** Advances the clock and returns the resulting effects. */
  advance(span: Milliseconds): SchedulerEffect[] {
    const before = this.effects.length;
    this.clock.advance(span);
    return this.effects.slice(before);
  }

  /** Submits a request that arrives now. */
  submit(request: ScheduledRequest): SchedulerEffect[] {
    return this.send({ kind: 'submit', request: { ...request, arrivedAt: this.clock.now() } });
  }

  progress(id: string, tokens = 1): SchedulerEffect[] {
    return this.send({ kind: 'progress', id, attempt: this.getDispatch(id).attempt, tokens });
  }

  endAttempt(id: string, status: AttemptStatus, retryAfter?: Milliseconds): SchedulerEffect[] {
    const { attempt } = this.getDispatch(id);
    return this.send({ kind: 'attempt-ended', id, attempt, end: status, retryAfter });
  }

  /** The last dispatch of a request. */
  getDispatch(id: string): Effect<'dispatch'> {
    const dispatch = this.getEffects('dispatch').findLast((effect) => effect.id === id);
    if (dispatch === undefined) {
      throw new Error(`${id} was not dispatched`);
    }
    return dispatch;
  }

  /** All effects of one kind so far. */
  getEffects<Kind extends SchedulerEffect['kind']>(kind: Kind): Effect<Kind>[] {
    return this.effects.filter((effect): effect is Effect<Kind> => effect.kind === kind);
  }
}

/** Summarizes each effect by its kind and request, as in `dispatch gate-1`. */
export function summarizeEffects(effects: readonly SchedulerEffect[]): string[] {
  return effects.map(({ kind, id }) => `${kind} ${id}`);
}
