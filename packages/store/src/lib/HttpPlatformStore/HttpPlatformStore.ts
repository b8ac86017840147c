import { createCallCounters } from '../CallCounters.js';
import type { CallCounters } from '../CallCounters.js';
import type { PlatformStore, PutResult, StoreChange, StoredObject } from '../PlatformStore.js';
import { checkValueSize } from '../ValueTooLargeError.js';
import type { HttpPlatformSettings } from './HttpPlatformOptions.js';
import { PlatformConnection } from './PlatformConnection.js';
import type { PlatformAnswer } from './PlatformConnection.js';

const OK = 200;
const CREATED = 201;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

function getPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function getCondition(expectedVersion: number): Record<string, string> {
  return expectedVersion === 0
    ? { 'if-none-match': '*' }
    : { 'if-match': `"${String(expectedVersion)}"` };
}

/**
 * The platform's object store over HTTP. It asks each call once: whoever calls decides whether to
 * ask again, since a write whose answer was lost may have taken effect.
 *
 * @example
 * ```ts
 * const store = new HttpPlatformStore({ url: 'http://127.0.0.1:8500', timeout: 1_000 });
 * const manifest = await store.get('config/manifest');
 * ```
 * @public
 */
export class HttpPlatformStore implements PlatformStore {
  private readonly connection: PlatformConnection;

  private readonly counters = createCallCounters();

  /** @param setup - the platform's address; every other option has a default */
  constructor(setup: HttpPlatformSettings) {
    this.connection = new PlatformConnection(setup);
  }

  async get(key: string): Promise<StoredObject | undefined> {
    this.counters.reads += 1;
    const step = 'store-get';
    const answer = await this.connection.call({ step, method: 'GET', path: getPath(key) });
    return answer.status === NOT_FOUND ? undefined : this.getObject(step, key, answer);
  }

  async list(prefix: string): Promise<StoredObject[]> {
    this.counters.reads += 1;
    const step = 'store-list';
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.connection.call({ step, method: 'GET', path });
    this.check(step, answer, [OK]);
    return this.connection.parse<{ objects: StoredObject[] }>(step, answer).objects;
  }

  /** @throws ValueTooLargeError when the value is over a megabyte; nothing was sent then */
  async put(key: string, value: string, expectedVersion: number): Promise<PutResult> {
    checkValueSize(key, value, this.connection.peer);
    this.counters.writes += 1;
    const step = 'store-put';
    const headers = getCondition(expectedVersion);
    const call = { step, method: 'PUT', path: getPath(key), headers, body: value } as const;
    return this.getOutcome(step, key, await this.connection.call(call));
  }

  async delete(key: string, expectedVersion: number): Promise<PutResult> {
    this.counters.writes += 1;
    const step = 'store-delete';
    const headers = getCondition(expectedVersion);
    const call = { step, method: 'DELETE', path: getPath(key), headers } as const;
    return this.getOutcome(step, key, await this.connection.call(call));
  }

  async watch(prefix: string, afterVersion: number, signal?: AbortSignal): Promise<StoreChange[]> {
    const wait = this.connection.options.watchWait;
    const query = { prefix, after: String(afterVersion), waitMs: String(wait) };
    const path = `/watch?${new URLSearchParams(query).toString()}`;
    const step = 'store-watch';
    this.counters.watches += 1;
    this.counters.waitingWatches += 1;
    try {
      const answer = await this.connection.call({ step, method: 'GET', path, wait, signal });
      this.check(step, answer, [OK]);
      return this.connection.parse<{ changes: StoreChange[] }>(step, answer).changes;
    } finally {
      this.counters.waitingWatches -= 1;
    }
  }

  /** Calls this client made, and the bytes of their bodies. */
  getCounters(): CallCounters & { bytesSent: number; bytesReceived: number } {
    const { sent, received } = this.connection.getBytes();
    return { ...this.counters, bytesSent: sent, bytesReceived: received };
  }

  /** How often connections were replaced because a call on them got no answer. */
  getRenewals(): number {
    return this.connection.getRenewals();
  }

  /** Ends every call under way and closes the connections. */
  async dispose(): Promise<void> {
    await this.connection.dispose();
  }

  private getOutcome(step: string, key: string, answer: PlatformAnswer): PutResult {
    this.check(step, answer, [OK, CREATED, NO_CONTENT, PRECONDITION_FAILED]);
    if (answer.status !== PRECONDITION_FAILED) {
      return { kind: 'accepted', version: this.getVersion(step, answer) };
    }
    const isAbsent = answer.version === undefined;
    return { kind: 'conflict', current: isAbsent ? undefined : this.getObject(step, key, answer) };
  }

  private getObject(step: string, key: string, answer: PlatformAnswer): StoredObject {
    this.check(step, answer, [OK, PRECONDITION_FAILED]);
    return { key, value: answer.text, version: this.getVersion(step, answer) };
  }

  private getVersion(step: string, answer: PlatformAnswer): number {
    if (answer.version === undefined) {
      throw this.connection.createError(step, 'the answer carries no version');
    }
    return answer.version;
  }

  /** An answer we do not know may come from something in between: nothing follows from it. */
  private check(step: string, answer: PlatformAnswer, expected: readonly number[]): void {
    if (!expected.includes(answer.status)) {
      throw this.connection.createError(step, `unexpected answer ${answer.status}: ${answer.text}`);
    }
  }
}
