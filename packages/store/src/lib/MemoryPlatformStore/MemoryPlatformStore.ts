import type { Clock, Milliseconds } from '@apricotrill/utils';
import { createCallCounters } from '../CallCounters.js';
import type { CallCounters } from '../CallCounters.js';
import { ObjectStore } from '../ObjectStore/ObjectStore.js';
import { StoreUnavailableError } from '../PlatformStore.js';
import type { PlatformStore, PutResult, StoreChange, StoredObject } from '../PlatformStore.js';
import type { StoreFault } from '../StoreFaultInjector/StoreFaultInjector.js';
import { StoreFaultInjector } from '../StoreFaultInjector/StoreFaultInjector.js';
import { checkValueSize } from '../ValueTooLargeError.js';
import { OpenCalls } from './OpenCalls.js';

/**
 * How the store in memory behaves.
 *
 * @public
 */
export interface MemoryPlatformOptions {
  /** How long every answer takes, in milliseconds; 0 answers without a timer. */
  latency: Milliseconds;
  /** A call without its answer by then has failed, in milliseconds. */
  timeout: Milliseconds;
  /** How long a watch is held, in milliseconds. */
  watchWait: Milliseconds;
}

/** The defaults: answers at once, two seconds of patience, watches of twenty seconds. */
export const defaultMemoryPlatformOptions: MemoryPlatformOptions = {
  latency: 0,
  timeout: 2_000,
  watchWait: 20_000,
};

/**
 * What a store in memory runs on.
 *
 * @public
 */
export interface MemoryPlatformSettings extends Partial<MemoryPlatformOptions> {
  clock: Clock;
  /** Objects shared with other clients; its own when absent. */
  objects?: ObjectStore;
}

const PEER = 'memory';

function createError(step: string, message: string): StoreUnavailableError {
  return new StoreUnavailableError(message, { step, peer: PEER });
}

/**
 * The platform's store in this process, on a clock, with the faults a real one has. Each instance
 * is one client's view: several may share their objects, and a fault strikes one client only.
 *
 * @example
 * ```ts
 * const store = new MemoryPlatformStore({ clock });
 * store.applyFault({ kind: 'lose-answers', count: 1 });
 * await store.put('a', '1', 0); // throws, though the write took effect
 * ```
 * @public
 */
export class MemoryPlatformStore implements PlatformStore {
  readonly objects: ObjectStore;

  private readonly clock: Clock;

  private readonly options: MemoryPlatformOptions;

  private readonly faults = new StoreFaultInjector();

  private readonly openCalls: OpenCalls;

  private readonly counters = createCallCounters();

  constructor({ clock, objects, ...options }: MemoryPlatformSettings) {
    this.clock = clock;
    this.objects = objects ?? new ObjectStore(clock);
    this.options = { ...defaultMemoryPlatformOptions, ...options };
    this.openCalls = new OpenCalls(clock);
  }

  /** Shows a fault to this client, or ends one. */
  applyFault(fault: StoreFault): void {
    this.faults.apply(fault);
    if (fault.kind === 'down') {
      this.openCalls.failAll(createError('store-call', 'the platform went down'));
    }
  }

  /** Calls this client made that reached the platform. */
  getCounters(): CallCounters {
    return { ...this.counters };
  }

  async get(key: string): Promise<StoredObject | undefined> {
    return this.read('store-get', () => this.objects.get(key));
  }

  async list(prefix: string): Promise<StoredObject[]> {
    return this.read('store-list', () => this.objects.list(prefix));
  }

  async put(key: string, value: string, expectedVersion: number): Promise<PutResult> {
    checkValueSize(key, value, PEER);
    return this.write('store-put', key, () => this.objects.put(key, value, expectedVersion));
  }

  async delete(key: string, expectedVersion: number): Promise<PutResult> {
    return this.write('store-delete', key, () => this.objects.delete(key, expectedVersion));
  }

  async watch(prefix: string, afterVersion: number, signal?: AbortSignal): Promise<StoreChange[]> {
    const step = 'store-watch';
    this.checkUp(step);
    this.counters.watches += 1;
    this.counters.waitingWatches += 1;
    try {
      const changes = await this.waitForChanges(prefix, afterVersion, signal);
      await this.delayAnswer(step);
      return changes;
    } finally {
      this.counters.waitingWatches -= 1;
    }
  }

  private async read<Answer>(step: string, getAnswer: () => Answer): Promise<Answer> {
    this.checkUp(step);
    this.counters.reads += 1;
    const answer = getAnswer();
    await this.delayAnswer(step);
    return answer;
  }

  private async write(step: string, key: string, effect: () => PutResult): Promise<PutResult> {
    this.checkUp(step);
    this.counters.writes += 1;
    const fate = this.faults.consumeWriteOutcome(key);
    if (fate.kind === 'late') {
      this.clock.setTimer(fate.delayMs, effect);
      throw createError(step, 'the answer was lost');
    }
    const outcome = effect();
    if (fate.kind === 'answer-lost') {
      throw createError(step, 'the answer was lost');
    }
    await this.delayAnswer(step);
    return outcome;
  }

  private checkUp(step: string): void {
    if (this.faults.isDown()) {
      throw createError(step, 'the platform is down');
    }
  }

  private async delayAnswer(step: string): Promise<void> {
    const delay = this.options.latency + this.faults.getDelay();
    await this.openCalls.wait(Math.min(delay, this.options.timeout));
    if (delay > this.options.timeout) {
      throw createError(step, 'no answer in time');
    }
  }

  private waitForChanges(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal | undefined,
  ): Promise<StoreChange[]> {
    const { timeout, watchWait } = this.options;
    return this.openCalls.open((resolve, reject) => {
      const fail = (message: string) => reject(createError('store-watch', message));
      const silence = this.clock.setTimer(watchWait + timeout, () => fail('no answer in time'));
      const abandon = () => fail('abandoned by the caller');
      signal?.addEventListener('abort', abandon, { once: true });
      if (signal?.aborted) {
        abandon();
      }
      const callOff = this.objects.watch(prefix, afterVersion, watchWait, (changes) => {
        if (!this.faults.hasSilentWatches()) {
          resolve(changes);
        }
      });
      return () => {
        silence.cancel();
        callOff();
        signal?.removeEventListener('abort', abandon);
      };
    });
  }
}
