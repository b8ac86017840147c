import { parseLeaseRecord } from '@apricotrill/lease';
import { StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore, PutResult, StoredObject } from '@apricotrill/store';
import type { SimulatedLink } from '@apricotrill/standins';

/** A lease granted, as the store saw it. */
export interface Grant {
  key: string;
  version: number;
  holder: string;
}

function createError(): StoreUnavailableError {
  return new StoreUnavailableError('no answer', { step: 'call', peer: 'store' });
}

/** The platform's store in memory, with outages and answers that get lost. */
export class FakeStore {
  readonly objects = new Map<string, StoredObject>();

  readonly grants: Grant[] = [];

  isDown = false;

  /** So many writes from now on take effect and are not confirmed. */
  lostAnswers = 0;

  private version = 100;

  connect(link: SimulatedLink): PlatformStore {
    // Longer than the lease waits: giving up a silent call is the lease's own task.
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
    const outcome = this.write(key, value, expectedVersion);
    if (outcome.kind === 'accepted' && this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      throw createError();
    }
    return outcome;
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
    this.noteGrant(object);
    return { kind: 'accepted', version: this.version };
  }

  private noteGrant(object: StoredObject): void {
    const record = parseLeaseRecord(object);
    if (record?.fencingNumber === 0 && record.holder !== '') {
      this.grants.push({ key: object.key, version: object.version, holder: record.holder });
    }
  }
}
