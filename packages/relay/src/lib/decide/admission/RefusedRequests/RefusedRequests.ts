import type { Milliseconds } from '@apricotrill/utils';
import type { AdmissionOptions } from '../admissionOptions.js';

/** A request that was refused. */
interface RefusedRequest {
  firstArrivedAt: Milliseconds;
  refusedAt: Milliseconds;
  /** The earliest time at which its caller was asked to return. */
  returnAt: Milliseconds;
}

/** A refusal to remember. */
export interface Refusal {
  fingerprint: string;
  firstArrivedAt: Milliseconds;
  retryAfter: Milliseconds;
}

/**
 * Remembers refused requests, so that they keep their place in the order of arrival when they return.
 *
 * Load pattern: overload of some seconds with callers that return. Ordered by their newest arrival, the
 * same callers are refused again and again.
 *
 * A caller that returns earlier than it was asked to gets no advantage from it: its request counts as new
 * until then. What is remembered is bounded by count and age, and forgotten with the placer.
 */
export class RefusedRequests {
  /** By fingerprint, the least recently refused first. */
  private readonly requests = new Map<string, RefusedRequest>();

  constructor(private readonly options: Pick<AdmissionOptions, 'maxRefused' | 'refusedMemory'>) {}

  get size(): number {
    return this.requests.size;
  }

  record({ fingerprint, firstArrivedAt, retryAfter }: Refusal, now: Milliseconds): void {
    const known = this.requests.get(fingerprint);
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, {
      firstArrivedAt: Math.min(firstArrivedAt, known?.firstArrivedAt ?? firstArrivedAt),
      refusedAt: now,
      returnAt: now + retryAfter,
    });
    this.forgetOutdated(now);
  }

  /** When a returning request first arrived; undefined if it counts as new. */
  getFirstArrival(fingerprint: string, now: Milliseconds): Milliseconds | undefined {
    const known = this.requests.get(fingerprint);
    const isOutdated = known === undefined || this.isOutdated(known, now);
    return isOutdated || now < known.returnAt ? undefined : known.firstArrivedAt;
  }

  /** Forgets a request that begins. */
  remove(fingerprint: string): void {
    this.requests.delete(fingerprint);
  }

  private forgetOutdated(now: Milliseconds): void {
    const { maxRefused } = this.options;
    for (const [fingerprint, request] of this.requests) {
      if (this.requests.size <= maxRefused && !this.isOutdated(request, now)) {
        return;
      }
      this.requests.delete(fingerprint);
    }
  }

  private isOutdated({ refusedAt }: RefusedRequest, now: Milliseconds): boolean {
    return now - refusedAt > this.options.refusedMemory;
  }
}
