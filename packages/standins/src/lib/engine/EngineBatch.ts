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
 * A request as the modelled engine sees it.
 *
 * @public
 */
export interface EngineJob {
  id: string;
  /** 0 is the most urgent. */
  priority: number;
  /** The prompt's blocks, each a hash of itself and all before it. */
  blocks: readonly number[];
  promptTokens: number;
  /** The first token to generate: above 0 when the request is resumed. */
  startIndex: number;
  /** Tokens of the whole answer, those before `startIndex` included. */
  outputTokens: number;
}

/**
 * What the batch tells its owner.
 *
 * @public
 */
export type BatchEvent =
  /** The request left the waiting queue for a slot. */
  | { kind: 'started'; id: string; cachedTokens: number }
  | { kind: 'token'; id: string; index: number }
  | { kind: 'finished'; id: string; promptTokens: number }
  | { kind: 'cache'; change: CacheChange };

/**
 * How busy an engine is.
 *
 * @public
 */
export interface EngineLoad {
  running: number;
  waiting: number;
}

interface StepPart {
  running: RunningJob;
  prefill: number;
}

/** What to hand a batch; every option left out has its default. */
export interface EngineBatchSettings {
  clock: Clock;
  options?: Partial<EngineBatchOptions>;
  emit: (event: BatchEvent) => void;
}

/**
 * A model of an engine that batches continuously: free slots take waiting requests by priority,
 * every step gives each running request a token, a step takes longer the more run, and time to
 * first token grows with the uncached part of the prompt. A state machine without I/O.
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

  private readonly load: LaggedValue<EngineLoad>;

  private step: Timer | undefined;

  private paused = false;

  private slowFactor = 1;

  constructor({ clock, options, emit }: EngineBatchSettings) {
    this.clock = clock;
    this.emit = emit;
    this.options = { ...defaultEngineBatchOptions, ...options };
    this.cache = new PrefixCache(this.options.cacheBlocks, (change) =>
      emit({ kind: 'cache', change }),
    );
    this.load = new LaggedValue(clock, this.options.loadLag, { running: 0, waiting: 0 });
  }

  /** Takes a request; it starts at the next step that has a free slot for it. */
  submit(job: EngineJob): void {
    this.waiting.add(job);
    this.noteLoad();
    this.beginStep();
  }

  /** Drops a request, waiting or running; its slot is free from the next step on. */
  cancel(id: string): void {
    if (this.running.delete(id) || this.waiting.remove(id)) {
      this.noteLoad();
    }
  }

  /** Stops giving tokens; requests go on being taken and wait. */
  pause(): void {
    this.paused = true;
    this.step?.cancel();
    this.step = undefined;
  }

  /** Goes on after {@link pause}; the step that was under way starts again. */
  unpause(): void {
    this.paused = false;
    this.beginStep();
  }

  /** Makes each step take `factor` times as long, as on a straggler. */
  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  /** The load as it is. */
  getLoad(): EngineLoad {
    return { running: this.running.size, waiting: this.waiting.size };
  }

  /** The load as the engine reports it: behind the truth by `loadLag`. */
  getReportedLoad(): TimestampedValue<EngineLoad> {
    return this.load.get();
  }

  /** Ends every request without a word, as a crash does. */
  dispose(): void {
    this.pause();
    this.running.clear();
    this.waiting.clear();
    this.noteLoad();
  }

  private noteLoad(): void {
    this.load.set(this.getLoad());
  }

  private beginStep(): void {
    if (this.step !== undefined || this.paused) {
      return;
    }
    this.fillSlots();
    const parts = this.planStep();
    if (parts.length === 0) {
      return;
    }
    this.step = this.clock.setTimer(this.getStepLength(parts), () => this.endStep(parts));
  }

  private fillSlots(): void {
    while (this.running.size < this.options.slots) {
      const job = this.waiting.take();
      if (job === undefined) {
        return;
      }
      this.start(job);
    }
  }

  private start(job: EngineJob): void {
    const cachedTokens = this.cache.match(job.blocks) * this.options.blockTokens;
    // The last prompt token is always computed: it gives the first token of the answer.
    const prefillLeft = Math.max(1, job.promptTokens + job.startIndex - cachedTokens);
    this.running.set(job.id, new RunningJob(job, prefillLeft));
    this.noteLoad();
    this.emit({ kind: 'started', id: job.id, cachedTokens });
  }

  /** Shares the step's prefill among new requests, the more urgent first. */
  private planStep(): StepPart[] {
    let budget = this.options.prefillPerStep;
    return [...this.running.values()]
      .sort((left, right) => left.job.priority - right.job.priority)
      .map((running) => {
        const prefill = running.getPrefill(budget);
        budget -= prefill;
        return { running, prefill };
      });
  }

  private getStepLength(parts: readonly StepPart[]): number {
    const { stepBase, stepPerRequest, prefillPerToken } = this.options;
    const prefill = parts.reduce((sum, part) => sum + part.prefill, 0);
    const length = stepBase + stepPerRequest * parts.length + prefillPerToken * prefill;
    return length * this.slowFactor;
  }

  private endStep(parts: readonly StepPart[]): void {
    parts.forEach((part) => this.advance(part));
    this.step = undefined;
    this.beginStep();
  }

  private advance({ running, prefill }: StepPart): void {
    const { job } = running;
    // The request may have been cancelled during the step, and its id taken by another.
    if (this.running.get(job.id) !== running) {
      return;
    }
    if (!running.prefill(prefill)) {
      return;
    }
    if (running.isFirstToken()) {
      this.cache.store(job.blocks);
    }
    this.giveToken(running);
  }

  private giveToken(running: RunningJob): void {
    const { id, promptTokens } = running.job;
    if (!running.isFinished()) {
      this.emit({ kind: 'token', id, index: running.takeToken() });
    }
    // The owner may have cancelled the request on that token.
    if (running.isFinished() && this.running.get(id) === running) {
      this.running.delete(id);
      this.noteLoad();
      this.emit({ kind: 'finished', id, promptTokens });
    }
  }
}
