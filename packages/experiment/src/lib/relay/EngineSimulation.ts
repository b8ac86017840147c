import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { CacheChange, LoadReport, Prompt } from '@apricotrill/relay';
import type { EngineParameters } from './RelayDeployment.js';
import type { MachineNoise } from './MachineNoise.js';
import { PrefixCache } from './PrefixCache.js';

/** A request sent to an engine, with the callbacks for its events. */
export interface EngineRequest {
  key: string;
  rank: number;
  /** Priority of its route. The engine does not see it. */
  priority: number;
  prompt: Prompt;
  /** Length of the response; the engine stops after it. */
  outputTokens: number;
  onEvent: () => void;
  onEnd: (isComplete: boolean) => void;
}

interface ActiveRequest extends EngineRequest {
  /** Order of submission. */
  sequence: number;
  /** Prompt tokens that were prefilled or found in the cache. */
  prefilled: number;
  /** Output tokens generated so far. */
  generated: number;
}

/** Totals of an engine, for the summary. */
export interface EngineCounts {
  prefilledTokens: number;
  copiedTokens: number;
  preemptions: number;
  /** Preemptions while a request of a less urgent route ran on. */
  invertedPreemptions: number;
}

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Maximum number of accepted requests without a slot; further requests are refused. */
const MAX_WAITING = 100;

/**
 * Simulates a model engine on a virtual clock: continuous batching with chunked prefill, a prefix
 * cache that shares its memory with the running requests, preemption by rank, responses in events of
 * several tokens, and copies of cached prefixes between engines.
 */
export class EngineSimulation {
  readonly cache: PrefixCache;

  readonly counts: EngineCounts = {
    prefilledTokens: 0,
    copiedTokens: 0,
    preemptions: 0,
    invertedPreemptions: 0,
  };

  isDown = false;

  /** The backoff that it asks for when it turns a request away; undefined while it serves requests. */
  requestedBackoff: Milliseconds | undefined;

  /** Whether it states in its responses that it is about to leave. */
  isLeaving = false;

  /** Called with the prompt when a response begins. @returns whether the engine crashes on it */
  crashesOn: ((prompt: Prompt) => boolean) | undefined;

  /** The requests that reached it, with the daemon that sent them and the time of their submission. */
  readonly arrivals: { at: Milliseconds; daemon: string; submittedAt: Milliseconds }[] = [];

  private waiting: ActiveRequest[] = [];

  private running: ActiveRequest[] = [];

  private isStepping = false;

  private sequence = 0;

  private linkFreeAt: Milliseconds = 0;

  /** Incremented by each crash, so that timers set before the crash have no effect after it. */
  private generation = 0;

  constructor(
    private readonly clock: Clock,
    private readonly parameters: EngineParameters,
    private readonly slowdown: number,
    onChange: (change: CacheChange) => void,
    /** Undefined if no others use its machine. */
    private readonly noise?: MachineNoise,
  ) {
    this.cache = new PrefixCache(onChange);
  }

  get load(): LoadReport {
    const { running, waiting, parameters, noise } = this;
    const load = { running: running.length, waiting: waiting.length, slots: parameters.slots };
    return noise === undefined ? load : { ...load, slowdown: noise.getSlowdown(this.clock.now()) };
  }

  /** @returns false when the request is too large or the queue is full */
  submit(request: EngineRequest, source: EngineSimulation | undefined): boolean {
    const isTooLarge =
      request.prompt.inputTokens + request.outputTokens > this.parameters.memoryTokens;
    if (isTooLarge || this.waiting.length >= MAX_WAITING) {
      return false;
    }
    const { generation } = this;
    const fetchTime = source === undefined ? 0 : this.fetchPrefix(request.prompt, source);
    this.sequence += 1;
    const active = { ...request, sequence: this.sequence, prefilled: 0, generated: 0 };
    this.clock.setTimer(this.parameters.setupTime + fetchTime, () => {
      if (generation === this.generation) {
        this.waiting.push(active);
        this.waiting.sort(
          (left, right) => left.rank - right.rank || left.sequence - right.sequence,
        );
        this.startStep();
      }
    });
    return true;
  }

  cancel(key: string): void {
    this.waiting = this.waiting.filter((request) => request.key !== key);
    this.running
      .filter((request) => request.key === key)
      .forEach((request) => this.cache.unpin(request.prompt, request.key));
    this.running = this.running.filter((request) => request.key !== key);
  }

  /** Ends all requests and clears the cache. */
  crash(): void {
    const all = [...this.running, ...this.waiting];
    this.generation += 1;
    this.isDown = true;
    this.running = [];
    this.waiting = [];
    this.isStepping = false;
    this.cache.clear();
    all.forEach((request) => request.onEnd(false));
  }

  /**
   * Copies the prompt's cached parts from another engine.
   *
   * @returns the time until the copy is complete
   */
  private fetchPrefix(prompt: Prompt, source: EngineSimulation): Milliseconds {
    const { copySetupTime, copyTime } = this.parameters;
    const tokens = source.cache.getCachedTokens(prompt) - this.cache.getCachedTokens(prompt);
    if (tokens <= 0 || source.isDown) {
      return 0;
    }
    const now = this.clock.now();
    this.linkFreeAt = Math.max(now, this.linkFreeAt) + copySetupTime + tokens * copyTime;
    this.counts.copiedTokens += tokens;
    this.cache.copyFrom(prompt, source.cache, now);
    return this.linkFreeAt - now;
  }

  private startStep(): void {
    if (this.isStepping || this.isDown) {
      return;
    }
    this.admitWaiting();
    if (this.running.length === 0) {
      return;
    }
    this.isStepping = true;
    const prefill = this.planPrefill();
    const { generation } = this;
    this.clock.setTimer(this.getStepTime(prefill), () => {
      if (generation === this.generation) {
        this.finishStep(prefill);
      }
    });
  }

  private admitWaiting(): void {
    while (this.waiting.length > 0 && this.running.length < this.parameters.slots) {
      const request = this.waiting[0]!;
      const needed =
        request.prompt.inputTokens - this.cache.getCachedTokens(request.prompt) + request.generated;
      if (!this.ensureFreeMemory(needed)) {
        return;
      }
      this.waiting.shift();
      request.prefilled = Math.min(
        this.cache.getCachedTokens(request.prompt),
        request.prompt.inputTokens - 1,
      );
      this.cache.pin(request.prompt, request.key);
      this.running.push(request);
    }
  }

  private get usedTokens(): number {
    const generated = this.running.reduce((sum, request) => sum + request.generated, 0);
    return generated + this.cache.pinnedTokens;
  }

  /**
   * Evicts unpinned parts until the tokens fit.
   *
   * @returns false when the running requests leave too little memory
   */
  private ensureFreeMemory(tokens: number): boolean {
    if (this.usedTokens + tokens > this.parameters.memoryTokens) {
      return false;
    }
    this.cache.evictUnpinned(this.parameters.memoryTokens - this.usedTokens - tokens);
    return true;
  }

  /** Splits the prefill tokens of the next step among the running requests, the most urgent first. */
  private planPrefill(): Map<ActiveRequest, number> {
    let remainingTokens = this.parameters.prefillChunkTokens;
    const prefill = new Map<ActiveRequest, number>();
    [...this.running]
      .filter(({ prefilled, prompt }) => prefilled < prompt.inputTokens)
      .sort((one, other) => one.rank - other.rank || one.sequence - other.sequence)
      .forEach((request) => {
        const tokens = Math.min(remainingTokens, request.prompt.inputTokens - request.prefilled);
        if (tokens > 0) {
          prefill.set(request, tokens);
          remainingTokens -= tokens;
        }
      });
    return prefill;
  }

  private getStepTime(prefill: ReadonlyMap<ActiveRequest, number>): Milliseconds {
    const { baseStepTime, stepTimePerThousandTokens, prefillRate, attentionTimePerMillionPairs } =
      this.parameters;
    const context = this.running.reduce(
      (sum, { prefilled, generated }) => sum + prefilled + generated,
      0,
    );
    let stepTime = baseStepTime + (stepTimePerThousandTokens * context) / TOKENS_PER_THOUSAND;
    prefill.forEach((tokens, { prefilled }) => {
      const pairs = tokens * (prefilled + tokens / 2);
      stepTime += tokens / prefillRate + (attentionTimePerMillionPairs * pairs) / PAIRS_PER_MILLION;
    });
    return stepTime * this.slowdown * (this.noise?.getSlowdown(this.clock.now()) ?? 1);
  }

  private finishStep(prefill: ReadonlyMap<ActiveRequest, number>): void {
    this.isStepping = false;
    const decoding = this.running.filter((request) => {
      const tokens = prefill.get(request) ?? 0;
      Object.assign(request, { prefilled: request.prefilled + tokens });
      this.counts.prefilledTokens += tokens;
      return request.prefilled >= request.prompt.inputTokens;
    });
    decoding.forEach((request) => this.generateToken(request));
    this.preempt();
    this.startStep();
  }

  private generateToken(request: ActiveRequest): void {
    if (!this.running.includes(request)) {
      return;
    }
    if (request.generated === 0 && this.crashesOn?.(request.prompt) === true) {
      return;
    }
    if (request.generated === 0) {
      this.cache.recordComputed(request.prompt, this.clock.now());
    }
    Object.assign(request, { generated: request.generated + 1 });
    const isLast = request.generated >= request.outputTokens;
    if (isLast || request.generated % this.parameters.eventTokens === 1) {
      request.onEvent();
    }
    if (isLast && this.running.includes(request)) {
      this.running = this.running.filter((other) => other !== request);
      this.cache.unpin(request.prompt, request.key);
      request.onEnd(true);
    }
  }

  /**
   * While memory is short, moves the latest of the least urgent requests back to the queue; it is
   * prefilled again later.
   */
  private preempt(): void {
    while (this.usedTokens > this.parameters.memoryTokens && this.running.length > 1) {
      const victim = [...this.running].sort(
        (one, other) => other.rank - one.rank || other.sequence - one.sequence,
      )[0]!;
      this.counts.preemptions += 1;
      this.running = this.running.filter((request) => request !== victim);
      const isInverted = this.running.some(({ priority }) => priority > victim.priority);
      this.counts.invertedPreemptions += isInverted ? 1 : 0;
      this.cache.unpin(victim.prompt, victim.key);
      this.waiting.unshift(victim);
    }
    this.cache.evictUnpinned(this.parameters.memoryTokens - this.usedTokens);
  }
}
