import { AttemptStatus, Scheduler } from '@apricotrill/policy';
import type { ScheduledRequest, SchedulerEffect } from '@apricotrill/policy';
import type { Configuration } from '@apricotrill/model';
import { createRandom, ManualClock } from '@apricotrill/utils';
import { drainMicrotasks } from '../../measure/advanceClock.js';

const TOKENS_PER_ANSWER = 4;

/**
 * A scheduler with a configuration in it, driven by messages alone: the way the daemon drives it.
 *
 * @internal
 */
export class SchedulerLoad {
  readonly clock = new ManualClock(1_000);

  readonly scheduler: Scheduler;

  private readonly random = createRandom(1);

  private readonly running: { id: string; attempt: number }[] = [];

  private sent = 0;

  constructor(private readonly configuration: Configuration) {
    const { clock } = this;
    this.scheduler = new Scheduler({
      clock,
      random: createRandom(2),
      emit: (effect) => this.handleEffect(effect),
    });
    this.scheduler.handle({ kind: 'daemons', self: 'daemon-0', daemons: ['daemon-0'] });
    this.scheduler.handle({ kind: 'replicas', replicas: configuration.register.replicas });
  }

  /** Submits requests of workspaces in turn, and lets them be dispatched. */
  async submit(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      this.scheduler.handle({ kind: 'submit', request: this.createRequest() });
    }
    await drainMicrotasks();
  }

  /** Streams and completes up to so many of the running requests, and lets others follow. */
  async complete(count: number): Promise<void> {
    const batch = this.running.splice(0, count);
    batch.forEach(({ id, attempt }) => {
      for (let token = 0; token < TOKENS_PER_ANSWER; token += 1) {
        this.scheduler.handle({ kind: 'progress', id, attempt, tokens: 1 });
      }
      this.scheduler.handle({
        kind: 'attempt-ended',
        id,
        attempt,
        end: AttemptStatus.Completed,
      });
    });
    await drainMicrotasks();
    this.clock.advance(1);
  }

  get runningCount(): number {
    return this.running.length;
  }

  private createRequest(): ScheduledRequest {
    const { register, rules } = this.configuration;
    const workspace = register.workspaces[this.sent % register.workspaces.length]!;
    const service = register.services[this.sent % register.services.length]!;
    this.sent += 1;
    return {
      id: `request-${this.sent}`,
      service: service.name,
      model: service.models[0],
      workspace: workspace.name,
      workspaceWeight: workspace.weight,
      serviceClass: rules.classes[this.sent % rules.classes.length]!,
      prefixHash: this.random.integer(1_000_000),
      resumable: true,
      arrivedAt: this.clock.now(),
    };
  }

  private handleEffect(effect: SchedulerEffect): void {
    if (effect.kind === 'dispatch') {
      this.running.push({ id: effect.id, attempt: effect.attempt });
    }
  }
}
