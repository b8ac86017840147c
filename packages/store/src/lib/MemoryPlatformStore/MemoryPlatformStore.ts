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
 * How the in-memory store behaves.
 *
 * @public
 */
export interface MemoryPlatformOptions {
  /** How long every response takes, in milliseconds; 0 responds without a timer. */
  latency: Milliseconds;
  /** Timeout for the response to a call, in milliseconds. */
  timeout: Milliseconds;
  /** How long a watch is held before it responds, in milliseconds. */
  watchWait: Milliseconds;
}

/** The defaults: immediate responses, and the timeouts of `defaultHttpPlatformOptions`. */
export const defaultMemoryPlatformOptions: MemoryPlatformOptions = {
  latency: 0,
  timeout: 2_000,
  watchWait: 20_000,
};

/**
 * Constructor arguments of the in-memory store.
 *
 * @public
 */
export interface MemoryPlatformSettings extends Partial<MemoryPlatformOptions> {
  clock: Clock;
  /** Objects shared with other clients; a new store when absent. */
  objects?: ObjectStore;
}

const PEER = 'memory';

function createError(step: string, message: string): StoreUnavailableError {
  return new StoreUnavailableError(message, { step, peer: PEER });
}

/**
 * An in-process platform store that runs on a clock and can inject the faults of a real one. Each
 * instance is one client's view: several may share their objects, and a fault affects one client.
 *
 * @example
 * ```ts
 * const store = new MemoryPlatformStore({ clock });
 * store.applyFault({ kind: 'lose-answers', count: 1 });
 * await store.put('a', '1', 0); // throws although the write took effect
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

  /** Starts or ends a fault for this client. */
  applyFault(fault: StoreFault): void {
    this.faults.apply(fault);
    if (fault.kind === 'down') {
      this.openCalls.failAll(createError('store-call', 'the platform went down'));
    }
  }

  /** The calls of this client that reached the platform. */
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
    this.checkAvailable(step);
    this.counters.watches += 1;
    this.counters.waitingWatches += 1;
    try {
      const changes = await this.waitForChanges(prefix, afterVersion, signal);
      await this.delayResponse(step);
      return changes;
    } finally {
      this.counters.waitingWatches -= 1;
    }
  }

  private async read<Value>(step: string, getResult: () => Value): Promise<Value> {
    this.checkAvailable(step);
    this.counters.reads += 1;
    const result = getResult();
    await this.delayResponse(step);
    return result;
  }

  private async write(step: string, key: string, applyWrite: () => PutResult): Promise<PutResult> {
    this.checkAvailable(step);
    this.counters.writes += 1;
    const outcome = this.faults.consumeWriteOutcome(key);
    if (outcome.kind === 'late') {
      this.clock.setTimer(outcome.delayMs, applyWrite);
      throw createError(step, 'the response was lost');
    }
    const result = applyWrite();
    if (outcome.kind === 'answer-lost') {
      throw createError(step, 'the response was lost');
    }
    await this.delayResponse(step);
    return result;
  }

  private checkAvailable(step: string): void {
    if (this.faults.isDown()) {
      throw createError(step, 'the platform is down');
    }
  }

  private async delayResponse(step: string): Promise<void> {
    const delay = this.options.latency + this.faults.getDelay();
    await this.openCalls.wait(Math.min(delay, this.options.timeout));
    if (delay > this.options.timeout) {
      throw createError(step, 'no response in time');
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
      const timer = this.clock.setTimer(watchWait + timeout, () => fail('no response in time'));
      const abort = () => fail('aborted by the caller');
      signal?.addEventListener('abort', abort, { once: true });
      if (signal?.aborted) {
        abort();
      }
      const cancelWatch = this.objects.watch(prefix, afterVersion, watchWait, (changes) => {
        if (!this.faults.hasSilentWatches()) {
          resolve(changes);
        }
      });
      return () => {
        timer.cancel();
        cancelWatch();
        signal?.removeEventListener('abort', abort);
      };
    });
  }
}
