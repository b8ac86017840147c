import { assert } from '@apricotrill/utils';
import type { Clock, Timer } from '@apricotrill/utils';
import { PrefixCache } from '../PrefixCache/PrefixCache.js';
import type { Job, JobOutput, Load, OutputListener, ReplicaModel } from '../ReplicaModel.js';
import type { EngineOptions } from './EngineOptions.js';

interface Sequence {
  job: Job;
  order: number;
  prefillLeft: number;
  tokensLeft: number;
  cancelled: boolean;
}

function isBefore(left: Sequence, right: Sequence): boolean {
  return (
    left.job.priority < right.job.priority ||
    (left.job.priority === right.job.priority && left.order < right.order)
  );
}

/**
 * A continuously batching engine: a fixed number of sequences decode together, waiting ones join
 * at the end of an iteration in order of priority, prompts are computed in chunks between.
 *
 * @example
 * ```ts
 * const engine = new EngineModel(clock, DEFAULT_ENGINE_OPTIONS, (outputs) => deliver(outputs));
 * engine.submit({ key: 'r1/1', priority: 0, work });
 * ```
 * @public
 */
export class EngineModel implements ReplicaModel {
  private readonly cache: PrefixCache;

  private readonly waiting: Sequence[] = [];

  private running: Sequence[] = [];

  private step: Timer | undefined;

  private order = 0;

  private slowFactor = 1;

  constructor(
    private readonly clock: Clock,
    private readonly options: EngineOptions,
    private readonly listener: OutputListener,
  ) {
    this.cache = new PrefixCache(options.cacheTokens);
  }

  submit(job: Job): boolean {
    const { slots, waitingPerSlot } = this.options;
    if (this.waiting.length >= slots * waitingPerSlot) {
      return false;
    }
    assert(job.work.kind === 'chat', 'an engine runs chat completions');
    this.order += 1;
    const tokensLeft = job.work.answerTokens - job.work.resumeAt;
    this.enqueue({ job, order: this.order, prefillLeft: 0, tokensLeft, cancelled: false });
    if (this.step === undefined) {
      this.startStep();
    }
    return true;
  }

  cancel(key: string): void {
    const index = this.waiting.findIndex(({ job }) => job.key === key);
    if (index >= 0) {
      this.waiting.splice(index, 1);
      return;
    }
    const sequence = this.running.find(({ job }) => job.key === key);
    if (sequence !== undefined) {
      sequence.cancelled = true;
    }
  }

  getLoad(): Load {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  crash(): string[] {
    const lost = [...this.running.filter(({ cancelled }) => !cancelled), ...this.waiting];
    this.step?.cancel();
    this.step = undefined;
    this.running = [];
    this.waiting.length = 0;
    this.cache.clear();
    return lost.map(({ job }) => job.key);
  }

  private enqueue(sequence: Sequence): void {
    const index = this.waiting.findIndex((other) => isBefore(sequence, other));
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, sequence);
  }

  private admit(): void {
    while (this.running.length < this.options.slots && this.waiting.length > 0) {
      const sequence = this.waiting.shift()!;
      const { work } = sequence.job;
      assert(work.kind === 'chat', 'an engine runs chat completions');
      const cached = this.cache.use(work.prefixHash, work.prefixTokens);
      sequence.prefillLeft = work.promptTokens + work.resumeAt - cached;
      this.running.push(sequence);
    }
  }

  /** Computes prompts in order of admission, within the chunk limit. */
  private prefill(): number {
    let budget = this.options.prefillChunk * this.options.iterationsPerStep;
    const before = budget;
    this.running.forEach((sequence) => {
      const computed = Math.min(budget, sequence.prefillLeft);
      budget -= computed;
      Object.assign(sequence, { prefillLeft: sequence.prefillLeft - computed });
    });
    return before - budget;
  }

  private startStep(): void {
    this.admit();
    if (this.running.length === 0) {
      this.step = undefined;
      return;
    }
    const { iterationBase, iterationPerSequence, iterationsPerStep, prefillPerToken } =
      this.options;
    const decoding = this.running.filter(({ prefillLeft }) => prefillLeft <= 0);
    const prefilled = this.prefill();
    const iteration = iterationBase + iterationPerSequence * this.running.length;
    const duration = iteration * iterationsPerStep + prefilled * prefillPerToken;
    this.step = this.clock.setTimer(duration * this.slowFactor, () => this.endStep(decoding));
  }

  private endStep(decoding: Sequence[]): void {
    const steady = new Set(decoding);
    const outputs: JobOutput[] = [];
    this.running.forEach((sequence) => {
      if (sequence.prefillLeft > 0) {
        return;
      }
      // A prompt that was finished in this step gives its first token at the step's end.
      const most = steady.has(sequence) ? this.options.iterationsPerStep : 1;
      const units = Math.min(most, sequence.tokensLeft);
      const tokensLeft = sequence.tokensLeft - units;
      Object.assign(sequence, { tokensLeft });
      outputs.push({ key: sequence.job.key, units, finished: tokensLeft <= 0 });
    });
    this.running = this.running.filter(({ tokensLeft, cancelled }) => tokensLeft > 0 && !cancelled);
    this.startStep();
    if (outputs.length > 0) {
      this.listener(outputs);
    }
  }
}
