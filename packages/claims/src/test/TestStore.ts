import type { PlatformStore, PutResult, StoreChange, StoredObject } from '@apricotrill/store';
import { StoreUnavailableError } from '@apricotrill/store';

/** Resolves when a message arrives. A fuzz test passes its scheduler here. */
export type Deliver = (label: string) => Promise<void>;

function createError(): StoreUnavailableError {
  return new StoreUnavailableError('no response', { step: 'store', peer: 'test' });
}

/** An in-memory store with outages and lost confirmations. */
export class TestStore {
  isDown = false;

  /** How many confirmations of writes to lose. */
  losses = 0;

  /** Called when a confirmation was lost, with the daemon that waits for it. */
  onLoss: ((daemon: string) => void) | undefined;

  /** The daemons that cannot reach the store. */
  readonly unreachableFrom = new Set<string>();

  private readonly objects = new Map<string, StoredObject>();

  private version = 0;

  constructor(private readonly deliver: Deliver) {}

  setFault(kind: 'down' | 'up' | 'lose'): void {
    this.isDown = kind === 'down';
    this.losses += kind === 'lose' ? 1 : 0;
  }

  read(key: string): StoredObject | undefined {
    return this.objects.get(key);
  }

  /** Replaces the value of an object, which keeps its version, as an intermediary might. */
  replaceValue(key: string, value: string): void {
    this.objects.set(key, { ...this.objects.get(key)!, value });
  }

  list(prefix: string): StoredObject[] {
    return [...this.objects.values()].filter(({ key }) => key.startsWith(prefix));
  }

  /** The store as seen by one daemon. `pass` holds back its messages while it is paused. */
  connect(daemon: string, pass: () => Promise<void>): PlatformStore {
    const call = <Value>(label: string, act: () => Value) => this.call(daemon, pass, label, act);
    return {
      get: (key) => call(`get ${key}`, () => this.objects.get(key)),
      list: (prefix) => call(`list ${prefix}`, () => this.list(prefix)),
      put: (key, value, expected) => call(`put ${key}`, () => this.put(key, value, expected)),
      delete: (key, expected) => call(`delete ${key}`, () => this.delete(key, expected)),
      watch: () => Promise.resolve<StoreChange[]>([]),
    };
  }

  private async call<Value>(
    daemon: string,
    pass: () => Promise<void>,
    label: string,
    act: () => Value,
  ): Promise<Value> {
    await this.deliver(`${daemon} ${label}`);
    const isReached = !this.isDown && !this.unreachableFrom.has(daemon);
    const value = isReached ? act() : undefined;
    const isLost = label.startsWith('put claims/') && isReached && this.losses > 0;
    if (isLost) {
      this.losses -= 1;
      this.onLoss?.(daemon);
    }
    await this.deliver(`${daemon} answered ${label}`);
    await pass();
    if (!isReached || isLost) {
      throw createError();
    }
    return value as Value;
  }

  private put(key: string, value: string, expectedVersion: number): PutResult {
    const current = this.objects.get(key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    this.version += 1;
    this.objects.set(key, { key, value, version: this.version });
    return { kind: 'accepted', version: this.version };
  }

  private delete(key: string, expectedVersion: number): PutResult {
    const current = this.objects.get(key);
    if (current?.version !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    this.objects.delete(key);
    this.version += 1;
    return { kind: 'accepted', version: this.version };
  }
}
