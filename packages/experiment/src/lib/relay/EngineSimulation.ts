import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { CacheChange, LoadReport, Prompt } from '@apricotrill/relay';
import type { EngineTraits } from './RelayDeployment.js';
import { PrefixCache } from './PrefixCache.js';

/** A request at an engine, and who hears of it. */
export interface EngineRun {
  key: string;
  rank: number;
  prompt: Prompt;
  /** Tokens that the answer will have. */
  outputTokens: number;
  onEvent: () => void;
  onEnd: (isWhole: boolean) => void;
}

interface ActiveRun extends EngineRun {
  order: number;
  /** Prompt tokens that are read or were kept. */
  read: number;
  made: number;
}

/** What an engine has done, for the summary. */
export interface EngineCounts {
  read: number;
  copied: number;
  preempted: number;
}

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Requests that are taken but have no slot. */
const QUEUE = 100;

/**
 * A model engine on a virtual clock: continuous batching with prompts read in chunks between the
 * tokens of running answers, kept prompt parts, one memory for both, preemption by rank, answers in
 * events of several tokens, copies of kept parts between engines.
 */
export class EngineSimulation {
  readonly cache: PrefixCache;

  readonly counts: EngineCounts = { read: 0, copied: 0, preempted: 0 };

  isDown = false;

  private waiting: ActiveRun[] = [];

  private running: ActiveRun[] = [];

  private isStepping = false;

  private order = 0;

  private linkFreeAt: Milliseconds = 0;

  /** Counts the engine's lives: what an earlier one has set up must not run in the next. */
  private life = 0;

  constructor(
    private readonly clock: Clock,
    private readonly traits: EngineTraits,
    private readonly factor: number,
    onChange: (change: CacheChange) => void,
  ) {
    this.cache = new PrefixCache(onChange);
  }

  get load(): LoadReport {
    const { running, waiting, traits } = this;
    return { running: running.length, waiting: waiting.length, slots: traits.slots };
  }

  /** @returns false when it is full */
  submit(run: EngineRun, source: EngineSimulation | undefined): boolean {
    const isTooLarge = run.prompt.inputTokens + run.outputTokens > this.traits.memoryTokens;
    if (isTooLarge || this.waiting.length >= QUEUE) {
      return false;
    }
    const { life } = this;
    const fetched = source === undefined ? 0 : this.fetch(run.prompt, source);
    this.order += 1;
    const active = { ...run, order: this.order, read: 0, made: 0 };
    this.clock.setTimer(this.traits.setup + fetched, () => {
      if (life === this.life) {
        this.waiting.push(active);
        this.waiting.sort((left, right) => left.rank - right.rank || left.order - right.order);
        this.begin();
      }
    });
    return true;
  }

  cancel(key: string): void {
    this.waiting = this.waiting.filter((run) => run.key !== key);
    this.running
      .filter((run) => run.key === key)
      .forEach((run) => this.cache.release(run.prompt, run.key));
    this.running = this.running.filter((run) => run.key !== key);
  }

  /** Ends everything, and forgets what it kept. */
  crash(): void {
    const all = [...this.running, ...this.waiting];
    this.life += 1;
    this.isDown = true;
    this.running = [];
    this.waiting = [];
    this.isStepping = false;
    this.cache.clear();
    all.forEach((run) => run.onEnd(false));
  }

  /** @returns how long it takes until the copy is there */
  private fetch(prompt: Prompt, source: EngineSimulation): Milliseconds {
    const { copySetup, copyTime } = this.traits;
    const tokens = source.cache.getKept(prompt) - this.cache.getKept(prompt);
    if (tokens <= 0 || source.isDown) {
      return 0;
    }
    const now = this.clock.now();
    this.linkFreeAt = Math.max(now, this.linkFreeAt) + copySetup + tokens * copyTime;
    this.counts.copied += tokens;
    this.cache.copy(prompt, source.cache, now);
    return this.linkFreeAt - now;
  }

  private begin(): void {
    if (this.isStepping || this.isDown) {
      return;
    }
    this.admit();
    if (this.running.length === 0) {
      return;
    }
    this.isStepping = true;
    const reads = this.planReads();
    const { life } = this;
    this.clock.setTimer(this.getStep(reads), () => {
      if (life === this.life) {
        this.finishStep(reads);
      }
    });
  }

  private admit(): void {
    while (this.waiting.length > 0 && this.running.length < this.traits.slots) {
      const run = this.waiting[0]!;
      const needed = run.prompt.inputTokens - this.cache.getKept(run.prompt) + run.made;
      if (!this.makeRoom(needed)) {
        return;
      }
      this.waiting.shift();
      run.read = Math.min(this.cache.getKept(run.prompt), run.prompt.inputTokens - 1);
      this.cache.hold(run.prompt, run.key);
      this.running.push(run);
    }
  }

  private get used(): number {
    const made = this.running.reduce((sum, run) => sum + run.made, 0);
    return made + this.cache.heldTokens;
  }

  /** @returns false when running requests hold too much */
  private makeRoom(tokens: number): boolean {
    if (this.used + tokens > this.traits.memoryTokens) {
      return false;
    }
    this.cache.shrink(this.traits.memoryTokens - this.used - tokens);
    return true;
  }

  /** Prompt tokens of each running request that the next step reads, the most urgent first. */
  private planReads(): Map<ActiveRun, number> {
    let left = this.traits.chunkTokens;
    const reads = new Map<ActiveRun, number>();
    [...this.running]
      .filter(({ read, prompt }) => read < prompt.inputTokens)
      .sort((one, other) => one.rank - other.rank || one.order - other.order)
      .forEach((run) => {
        const tokens = Math.min(left, run.prompt.inputTokens - run.read);
        if (tokens > 0) {
          reads.set(run, tokens);
          left -= tokens;
        }
      });
    return reads;
  }

  private getStep(reads: ReadonlyMap<ActiveRun, number>): Milliseconds {
    const { step, stepPerThousand, readRate, pairTime } = this.traits;
    const context = this.running.reduce((sum, { read, made }) => sum + read + made, 0);
    let span = step + (stepPerThousand * context) / TOKENS_PER_THOUSAND;
    reads.forEach((tokens, { read }) => {
      const pairs = tokens * (read + tokens / 2);
      span += tokens / readRate + (pairTime * pairs) / PAIRS_PER_MILLION;
    });
    return span * this.factor;
  }

  private finishStep(reads: ReadonlyMap<ActiveRun, number>): void {
    this.isStepping = false;
    const making = this.running.filter((run) => {
      const tokens = reads.get(run) ?? 0;
      Object.assign(run, { read: run.read + tokens });
      this.counts.read += tokens;
      return run.read >= run.prompt.inputTokens;
    });
    making.forEach((run) => this.makeToken(run));
    this.preempt();
    this.begin();
  }

  private makeToken(run: ActiveRun): void {
    if (!this.running.includes(run)) {
      return;
    }
    if (run.made === 0) {
      this.cache.noteRead(run.prompt, this.clock.now());
    }
    Object.assign(run, { made: run.made + 1 });
    const isLast = run.made >= run.outputTokens;
    if (isLast || run.made % this.traits.eventTokens === 1) {
      run.onEvent();
    }
    if (isLast && this.running.includes(run)) {
      this.running = this.running.filter((other) => other !== run);
      this.cache.release(run.prompt, run.key);
      run.onEnd(true);
    }
  }

  /** Out of memory, the last of the least urgent gives way, and is read again. */
  private preempt(): void {
    while (this.used > this.traits.memoryTokens && this.running.length > 1) {
      const victim = [...this.running].sort(
        (one, other) => other.rank - one.rank || other.order - one.order,
      )[0]!;
      this.counts.preempted += 1;
      this.running = this.running.filter((run) => run !== victim);
      this.cache.release(victim.prompt, victim.key);
      this.waiting.unshift(victim);
    }
    this.cache.shrink(this.traits.memoryTokens - this.used);
  }
}
