import { LaggedValue } from '@apricotrill/store';
import type { TimestampedValue } from '@apricotrill/store';
import type { Clock, Timer } from '@apricotrill/utils';
import { defaultEngineBatchOptions } from './EngineBatchOptions.js';
import type { EngineBatchOptions } from './EngineBatchOptions.js';
import { PrefixCache } from './PrefixCache.js';
import type { CacheChange } from './PrefixCache.js';
import { RunningJob } from './RunningJob.js';
import { WaitingQueue } from './WaitingQueue.js';

/**
 * A request to the simulated engine.
 *
 * @public
 */
export interface EngineJob {
  id: string;
  /** 0 is the most urgent. */
  priority: number;
  /** The blocks of the prompt, each a hash of itself and all blocks before it. */
  blocks: readonly number[];
  promptTokens: number;
  /** The index of the first token to generate; above 0 if the request is resumed. */
  startIndex: number;
  /** The number of tokens of the whole answer, including those before `startIndex`. */
  outputTokens: number;
}

/**
 * An event that the batch emits to its owner.
 *
 * @public
 */
export type BatchEvent =
  /** The request moved from the waiting queue to a slot. */
  | { kind: 'started'; id: string; cachedTokens: number }
  | { kind: 'token'; id: string; index: number }
  | { kind: 'finished'; id: string; promptTokens: number }
  | { kind: 'cache'; change: CacheChange };

/**
 * The number of running and waiting requests of an engine.
 *
 * @public
 */
export interface EngineLoad {
  running: number;
  waiting: number;
}

interface StepShare {
  running: RunningJob;
  prefill: number;
}

/** Constructor arguments of a batch; omitted options have their defaults. */
export interface EngineBatchSettings {
  clock: Clock;
  options?: Partial<EngineBatchOptions>;
  emit: (event: BatchEvent) => void;
}

/**
 * Simulates an engine with continuous batching. Free slots are filled with waiting requests by
 * priority, every step generates a token for each running request, a step takes longer the more
 * requests run, and the time to first token grows with the uncached part of the prompt. A state
 * machine without I/O.
 *
 * @example
 * ```ts
 * const batch = new EngineBatch({ clock, options: { slots: 8 }, emit: (event) => log(event) });
 * batch.submit(job);
 * clock.advance(1_000);
 * ```
 * @public
 */
export class EngineBatch {
  readonly options: EngineBatchOptions;

  private readonly clock: Clock;

  private readonly emit: (event: BatchEvent) => void;

  private readonly cache: PrefixCache;

  private readonly waiting = new WaitingQueue();

  private readonly running = new Map<string, RunningJob>();

  private readonly reportedLoad: LaggedValue<EngineLoad>;

  private stepTimer: Timer | undefined;

  private paused = false;

  private slowFactor = 1;

  constructor({ clock, options, emit }: EngineBatchSettings) {
    this.clock = clock;
    this.emit = emit;
    this.options = { ...defaultEngineBatchOptions, ...options };
    this.cache = new PrefixCache(this.options.cacheBlocks, (change) =>
      emit({ kind: 'cache', change }),
    );
    this.reportedLoad = new LaggedValue(clock, this.options.loadLag, { running: 0, waiting: 0 });
  }

  /** Submits a request; it starts at the next step with a free slot. */
  submit(job: EngineJob): void {
    this.waiting.add(job);
    this.recordLoad();
    this.beginStep();
  }

  /** Cancels a waiting or running request; its slot is free from the next step on. */
  cancel(id: string): void {
    if (this.running.delete(id) || this.waiting.remove(id)) {
      this.recordLoad();
    }
  }

  /** Stops generating tokens; requests are still accepted and wait. */
  pause(): void {
    this.paused = true;
    this.stepTimer?.cancel();
    this.stepTimer = undefined;
  }

  /** Resumes after {@link pause}; the interrupted step starts again. */
  resume(): void {
    this.paused = false;
    this.beginStep();
  }

  /** Makes each step take `factor` times as long, to simulate a slow replica. */
  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  /** Returns the current load. */
  getLoad(): EngineLoad {
    return { running: this.running.size, waiting: this.waiting.size };
  }

  /** Returns the load that the engine reports, which lags by `loadLag`. */
  getReportedLoad(): TimestampedValue<EngineLoad> {
    return this.reportedLoad.get();
  }

  /** Ends every request without an event, as in a crash. */
  dispose(): void {
    this.pause();
    this.running.clear();
    this.waiting.clear();
    this.recordLoad();
  }

  private recordLoad(): void {
    this.reportedLoad.set(this.getLoad());
  }

  private beginStep(): void {
    if (this.stepTimer !== undefined || this.paused) {
      return;
    }
    this.fillSlots();
    const parts = this.planStep();
    if (parts.length === 0) {
      return;
    }
    this.stepTimer = this.clock.setTimer(this.getStepDuration(parts), () => this.endStep(parts));
  }

  private fillSlots(): void {
    while (this.running.size < this.options.slots) {
      const job = this.waiting.shift();
      if (job === undefined) {
        return;
      }
      this.start(job);
    }
  }

  private start(job: EngineJob): void {
    const cachedTokens = this.cache.match(job.blocks) * this.options.blockTokens;
    // The last prompt token is always computed, since it yields the first token of the answer.
    const prefillTokens = Math.max(1, job.promptTokens + job.startIndex - cachedTokens);
    this.running.set(job.id, new RunningJob(job, prefillTokens));
    this.recordLoad();
    this.emit({ kind: 'started', id: job.id, cachedTokens });
  }

  /** Distributes the prefill budget of the step to the requests, the more urgent first. */
  private planStep(): StepShare[] {
    let remainingBudget = this.options.prefillPerStep;
    return [...this.running.values()]
      .sort((left, right) => left.job.priority - right.job.priority)
      .map((running) => {
        const prefill = running.getPrefillTokens(remainingBudget);
        remainingBudget -= prefill;
        return { running, prefill };
      });
  }

  private getStepDuration(parts: readonly StepShare[]): number {
    const { stepBase, stepPerRequest, prefillPerToken } = this.options;
    const prefill = parts.reduce((sum, part) => sum + part.prefill, 0);
    const duration = stepBase + stepPerRequest * parts.length + prefillPerToken * prefill;
    return duration * this.slowFactor;
  }

  private endStep(parts: readonly StepShare[]): void {
    parts.forEach((part) => this.advance(part));
    this.stepTimer = undefined;
    this.beginStep();
  }

  private advance({ running, prefill }: StepShare): void {
    const { job } = running;
    // The request may have been cancelled during the step and its id reused.
    if (this.running.get(job.id) !== running) {
      return;
    }
    if (!running.prefill(prefill)) {
      return;
    }
    if (running.isFirstToken()) {
      this.cache.store(job.blocks);
    }
    this.emitToken(running);
  }

  private emitToken(running: RunningJob): void {
    const { id, promptTokens } = running.job;
    if (!running.isFinished()) {
      this.emit({ kind: 'token', id, index: running.takeToken() });
    }
    // The owner may have cancelled the request while handling the token event.
    if (running.isFinished() && this.running.get(id) === running) {
      this.running.delete(id);
      this.recordLoad();
      this.emit({ kind: 'finished', id, promptTokens });
    }
  }
}
