import { parseLeaseRecord } from '@apricotrill/lease';
import { StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore, PutResult, StoredObject } from '@apricotrill/store';
import type { SimulatedLink } from '@apricotrill/standins';

/** A lease grant, as the store recorded it. */
export interface LeaseGrant {
  key: string;
  version: number;
  holder: string;
}

function createError(): StoreUnavailableError {
  return new StoreUnavailableError('no response', { step: 'call', peer: 'store' });
}

/** An in-memory platform store with simulated outages and lost responses. */
export class FakeStore {
  readonly objects = new Map<string, StoredObject>();

  readonly grants: LeaseGrant[] = [];

  isDown = false;

  /** The number of writes, from now on, that take effect but whose response is lost. */
  lostResponses = 0;

  private version = 100;

  connect(link: SimulatedLink): PlatformStore {
    // Longer than the lease's own timeout, which is the one under test.
    const timeout = 60_000;
    return {
      get: (key) => link.call(timeout, () => this.get(key)),
      put: (key, value, expected) => link.call(timeout, () => this.put(key, value, expected)),
      delete: (key, expected) => link.call(timeout, () => this.write(key, undefined, expected)),
      list: () => Promise.reject(createError()),
      watch: () => Promise.reject(createError()),
    };
  }

  private get(key: string): StoredObject | undefined {
    if (this.isDown) {
      throw createError();
    }
    return this.objects.get(key);
  }

  private put(key: string, value: string, expectedVersion: number): PutResult {
    const result = this.write(key, value, expectedVersion);
    if (result.kind === 'accepted' && this.lostResponses > 0) {
      this.lostResponses -= 1;
      throw createError();
    }
    return result;
  }

  private write(key: string, value: string | undefined, expectedVersion: number): PutResult {
    const current = this.get(key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    this.version += 1;
    const object = { key, value: value ?? '', version: this.version };
    if (value === undefined) {
      this.objects.delete(key);
    } else {
      this.objects.set(key, object);
    }
    this.recordGrant(object);
    return { kind: 'accepted', version: this.version };
  }

  private recordGrant(object: StoredObject): void {
    const record = parseLeaseRecord(object);
    if (record?.fencingNumber === 0 && record.holder !== '') {
      this.grants.push({ key: object.key, version: object.version, holder: record.holder });
    }
  }
}
