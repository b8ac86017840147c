import type { PlatformStore, PutResult, StoreChange, StoredObject } from '@apricotrill/store';
import type { Clock, Milliseconds } from '@apricotrill/utils';

/** Operations that the store has received. */
export interface StoreCost {
  writes: number;
  reads: number;
  deletes: number;
  writtenBytes: number;
}

/** An in-memory store that responds after a fixed time and counts its calls. */
export class BenchStore implements PlatformStore {
  readonly cost: StoreCost = { writes: 0, reads: 0, deletes: 0, writtenBytes: 0 };

  /** Whether calls get no response. */
  isDown = false;

  private readonly objects = new Map<string, StoredObject>();

  private version = 0;

  constructor(
    private readonly clock: Clock,
    private readonly latency: Milliseconds,
  ) {}

  get(key: string): Promise<StoredObject | undefined> {
    this.cost.reads += 1;
    return this.respond(() => this.objects.get(key));
  }

  list(prefix: string): Promise<StoredObject[]> {
    this.cost.reads += 1;
    const isIn = ({ key }: StoredObject) => key.startsWith(prefix);
    return this.respond(() => [...this.objects.values()].filter(isIn));
  }

  put(key: string, value: string, expectedVersion: number): Promise<PutResult> {
    this.cost.writes += 1;
    this.cost.writtenBytes += Buffer.byteLength(value);
    return this.respond(() => this.write(key, value, expectedVersion));
  }

  delete(key: string, expectedVersion: number): Promise<PutResult> {
    this.cost.deletes += 1;
    return this.respond(() => this.write(key, undefined, expectedVersion));
  }

  // eslint-disable-next-line class-methods-use-this
  watch(): Promise<StoreChange[]> {
    return Promise.resolve([]);
  }

  private write(key: string, value: string | undefined, expectedVersion: number): PutResult {
    const current = this.objects.get(key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    this.version += 1;
    if (value === undefined) {
      this.objects.delete(key);
    } else {
      this.objects.set(key, { key, value, version: this.version });
    }
    return { kind: 'accepted', version: this.version };
  }

  private respond<Value>(act: () => Value): Promise<Value> {
    return new Promise((resolve) => {
      this.clock.setTimer(this.latency, () => {
        if (!this.isDown) {
          resolve(act());
        }
      });
    });
  }
}
