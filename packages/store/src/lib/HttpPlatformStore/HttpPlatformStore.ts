import { createCallCounters } from '../CallCounters.js';
import type { CallCounters } from '../CallCounters.js';
import type { PlatformStore, PutResult, StoreChange, StoredObject } from '../PlatformStore.js';
import { checkValueSize } from '../ValueTooLargeError.js';
import type { HttpPlatformSettings } from './HttpPlatformOptions.js';
import { PlatformConnection } from './PlatformConnection.js';
import type { PlatformResponse } from './PlatformConnection.js';

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
 * The platform's object store over HTTP. It sends each request once: the caller decides whether to
 * retry, because a write whose response was lost may have taken effect.
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

  /** @param settings - the platform's address; every other option has a default */
  constructor(settings: HttpPlatformSettings) {
    this.connection = new PlatformConnection(settings);
  }

  async get(key: string): Promise<StoredObject | undefined> {
    this.counters.reads += 1;
    const step = 'store-get';
    const response = await this.connection.request({ step, method: 'GET', path: getPath(key) });
    return response.status === NOT_FOUND ? undefined : this.getObject(step, key, response);
  }

  async list(prefix: string): Promise<StoredObject[]> {
    this.counters.reads += 1;
    const step = 'store-list';
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.connection.request({ step, method: 'GET', path });
    this.checkStatus(step, response, [OK]);
    return this.connection.parseList<StoredObject>(step, response, 'objects');
  }

  /** @throws ValueTooLargeError when the value is larger than 1 MiB; nothing is sent in this case */
  async put(key: string, value: string, expectedVersion: number): Promise<PutResult> {
    checkValueSize(key, value, this.connection.peer);
    this.counters.writes += 1;
    const step = 'store-put';
    const headers = getCondition(expectedVersion);
    const request = { step, method: 'PUT', path: getPath(key), headers, body: value } as const;
    return this.getPutResult(step, key, await this.connection.request(request));
  }

  async delete(key: string, expectedVersion: number): Promise<PutResult> {
    this.counters.writes += 1;
    const step = 'store-delete';
    const headers = getCondition(expectedVersion);
    const request = { step, method: 'DELETE', path: getPath(key), headers } as const;
    return this.getPutResult(step, key, await this.connection.request(request));
  }

  async watch(prefix: string, afterVersion: number, signal?: AbortSignal): Promise<StoreChange[]> {
    const wait = this.connection.options.watchWait;
    const query = { prefix, after: String(afterVersion), waitMs: String(wait) };
    const path = `/watch?${new URLSearchParams(query).toString()}`;
    const step = 'store-watch';
    this.counters.watches += 1;
    this.counters.waitingWatches += 1;
    try {
      const response = await this.connection.request({ step, method: 'GET', path, wait, signal });
      this.checkStatus(step, response, [OK]);
      return this.connection.parseList<StoreChange>(step, response, 'changes');
    } finally {
      this.counters.waitingWatches -= 1;
    }
  }

  /** The calls made by this client and the bytes of their bodies. */
  getCounters(): CallCounters & { bytesSent: number; bytesReceived: number } {
    const { sent, received } = this.connection.getBytes();
    return { ...this.counters, bytesSent: sent, bytesReceived: received };
  }

  /** How often the connections were replaced because a request got no response. */
  getRenewals(): number {
    return this.connection.getRenewals();
  }

  /** Aborts every request in flight and closes the connections. */
  async dispose(): Promise<void> {
    await this.connection.dispose();
  }

  private getPutResult(step: string, key: string, response: PlatformResponse): PutResult {
    this.checkStatus(step, response, [OK, CREATED, NO_CONTENT, PRECONDITION_FAILED]);
    if (response.status !== PRECONDITION_FAILED) {
      return { kind: 'accepted', version: this.getVersion(step, response) };
    }
    const isAbsent = response.version === undefined;
    return {
      kind: 'conflict',
      current: isAbsent ? undefined : this.getObject(step, key, response),
    };
  }

  private getObject(step: string, key: string, response: PlatformResponse): StoredObject {
    this.checkStatus(step, response, [OK, PRECONDITION_FAILED]);
    // A value may be any text, so that a shorter one can't be told from a whole one.
    if (!response.isProved) {
      throw this.connection.createError(step, 'the value has neither a length nor chunks');
    }
    return { key, value: response.text, version: this.getVersion(step, response) };
  }

  private getVersion(step: string, response: PlatformResponse): number {
    if (response.version === undefined) {
      throw this.connection.createError(step, 'the response has no version');
    }
    return response.version;
  }

  /** An unexpected response may come from an intermediary, so it says nothing about the call. */
  private checkStatus(step: string, response: PlatformResponse, expected: readonly number[]): void {
    if (!expected.includes(response.status)) {
      throw this.connection.createError(
        step,
        `unexpected status ${response.status}: ${response.text}`,
      );
    }
  }
}
