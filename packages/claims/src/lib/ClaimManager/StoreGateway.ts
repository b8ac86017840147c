import type { PlatformStore, StoredObject } from '@apricotrill/store';
import { StepError } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { ClaimCounters } from '../ClaimCounters.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import { NO_ANSWER } from '../ClaimShard/shardMessages.js';
import type {
  HeadReadResult,
  SegmentsReadResult,
  WriteResult,
} from '../ClaimShard/shardMessages.js';
import { isReadable } from '../isReadable.js';
import { withTimeout } from './timing.js';

/**
 * The store as shards see it. Each call ends within the store timeout, and every failure becomes
 * {@link NO_ANSWER}, after which a write may or may not have taken effect.
 */
export class StoreGateway {
  constructor(
    private readonly store: PlatformStore,
    private readonly clock: Clock,
    private readonly options: ClaimOptions,
    private readonly counters: ClaimCounters,
    /** Called with the key of an object whose value can't be read. */
    private readonly onUnreadable: (key: string) => void,
  ) {}

  async get(key: string): Promise<HeadReadResult> {
    this.counters.storeReads += 1;
    const read = async () => ({ object: this.check(await this.store.get(key)) });
    return this.callWithTimeout(read());
  }

  async list(prefix: string): Promise<SegmentsReadResult> {
    this.counters.storeLists += 1;
    const read = async () => {
      const objects = await this.store.list(prefix);
      objects.forEach((object) => this.check(object));
      return objects;
    };
    return this.callWithTimeout<StoredObject[]>(read());
  }

  async put(key: string, value: string, expectedVersion: number): Promise<WriteResult> {
    this.counters.storeWrites += 1;
    this.counters.storeWrittenSize += value.length;
    const write = async () => {
      const result = await this.store.put(key, value, expectedVersion);
      if (result.kind === 'conflict') {
        this.check(result.current);
      }
      return result;
    };
    return this.callWithTimeout(write());
  }

  async delete(key: string, expectedVersion: number): Promise<WriteResult> {
    this.counters.storeDeletes += 1;
    return this.callWithTimeout(this.store.delete(key, expectedVersion));
  }

  /** @throws if the value of the object can't be read, which counts as no response */
  private check(object: StoredObject | undefined): StoredObject | undefined {
    if (object !== undefined && !isReadable(object.key, object.value)) {
      this.onUnreadable(object.key);
      throw new StepError('the value cannot be read', { step: 'read claims', peer: object.key });
    }
    return object;
  }

  private async callWithTimeout<Value>(call: Promise<Value>): Promise<Value | typeof NO_ANSWER> {
    const { storeTimeout } = this.options;
    const result = await withTimeout<Value, typeof NO_ANSWER>(
      this.clock,
      storeTimeout,
      call,
      NO_ANSWER,
    );
    this.counters.storeFailures += result === NO_ANSWER ? 1 : 0;
    return result;
  }
}
