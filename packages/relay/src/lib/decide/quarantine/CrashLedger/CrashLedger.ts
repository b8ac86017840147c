import type { Clock, Milliseconds } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';

/** A replica that crashed, with the requests that were in flight there. */
interface Crash {
  replica: string;
  at: Milliseconds;
  fingerprints: Set<string>;
  /** Requests that were in flight there and have been served by another replica since. */
  cleared: Set<string>;
}

/** A request with the crashes that are not attributed to a quarantined request. */
interface Candidate {
  fingerprint: string;
  crashes: Crash[];
}

function isCorrelated(crashes: readonly Crash[], { at }: Crash): boolean {
  return crashes.some((crash) => Math.abs(crash.at - at) <= quarantineOptions.correlationWindow);
}

/** Returns the requests that reach the crash threshold, sorted by number of crashes, descending. */
function getCandidates(crashes: readonly Crash[]): Candidate[] {
  const byRequest = new Map<string, Crash[]>();
  crashes.forEach((crash) => {
    crash.fingerprints.forEach((fingerprint) => {
      byRequest.set(fingerprint, [...(byRequest.get(fingerprint) ?? []), crash]);
    });
  });
  return [...byRequest]
    .map(([fingerprint, requestCrashes]) => ({ fingerprint, crashes: requestCrashes }))
    .filter((candidate) => candidate.crashes.length >= quarantineOptions.crashThreshold)
    .sort((left, right) => right.crashes.length - left.crashes.length);
}

/** Whether another candidate shares one of the crashes and has at least as many in total. */
function isAmbiguous(candidate: Candidate, candidates: readonly Candidate[]): boolean {
  return candidates.some(
    (other) =>
      other !== candidate &&
      other.crashes.length >= candidate.crashes.length &&
      other.crashes.some((crash) => candidate.crashes.includes(crash)),
  );
}

/**
 * Records which requests were in flight on replicas that crashed, and determines which requests are
 * responsible.
 *
 * A crash ends all requests on its replica, so presence at one crash is not sufficient evidence.
 * Crashes that a request shares with a quarantined request are not attributed to it. Below the
 * certain threshold, a request is not held responsible either while more replicas crash around the
 * same time without any candidate, as in a power failure.
 */
export class CrashLedger {
  /** By replica ID, oldest first. */
  private readonly crashes = new Map<string, Crash>();

  /** IDs of crashed replicas, by fingerprint of the requests that were in flight. */
  private readonly replicas = new Map<string, Set<string>>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records a crash, or adds requests to a recorded one.
   *
   * @returns the fingerprints that were added
   */
  add(replica: string, fingerprints: readonly string[]): string[] {
    const crash = this.getCrash(replica);
    const room = quarantineOptions.maxRequestsPerCrash - crash.fingerprints.size;
    const added = fingerprints
      .filter((name) => !crash.fingerprints.has(name) && !crash.cleared.has(name))
      .slice(0, Math.max(0, room));
    added.forEach((fingerprint) => {
      crash.fingerprints.add(fingerprint);
      const replicas = this.replicas.get(fingerprint) ?? new Set<string>();
      this.replicas.set(fingerprint, replicas.add(replica));
    });
    return added;
  }

  /** Removes a request from all crashes, after a replica has served it and kept running. */
  clear(fingerprint: string): void {
    this.getReplicas(fingerprint).forEach((replica) => {
      const crash = this.crashes.get(replica);
      crash?.fingerprints.delete(fingerprint);
      crash?.cleared.add(fingerprint);
    });
    this.replicas.delete(fingerprint);
  }

  has(replica: string): boolean {
    return this.crashes.has(replica);
  }

  /** Returns the IDs of replicas that crashed with the request in flight. */
  getReplicas(fingerprint: string): string[] {
    return [...(this.replicas.get(fingerprint) ?? [])];
  }

  /**
   * Returns the requests that are responsible for crashes, in the order of detection.
   *
   * @param isQuarantined - whether a request is already quarantined; its crashes are not attributed
   *   to other requests
   */
  findResponsible(isQuarantined: (fingerprint: string) => boolean): string[] {
    const found = new Set<string>();
    for (;;) {
      const isKnown = (fingerprint: string) => found.has(fingerprint) || isQuarantined(fingerprint);
      const unexplained = [...this.crashes.values()].filter(
        ({ fingerprints }) => ![...fingerprints].some(isKnown),
      );
      const candidates = getCandidates(unexplained);
      const next = candidates.find((candidate) =>
        CrashLedger.isResponsible(candidate, candidates, unexplained),
      );
      if (next === undefined) {
        return [...found];
      }
      found.add(next.fingerprint);
    }
  }

  private static isResponsible(
    candidate: Candidate,
    candidates: readonly Candidate[],
    unexplained: readonly Crash[],
  ): boolean {
    const { crashes } = candidate;
    if (crashes.length >= quarantineOptions.certainThreshold) {
      return true;
    }
    // Requests that were in flight at the same crashes can only be distinguished by a further crash.
    if (crashes.length === quarantineOptions.crashThreshold && isAmbiguous(candidate, candidates)) {
      return false;
    }
    // Crashes around the same time without any candidate indicate another cause.
    const others = unexplained
      .filter((crash) => !candidates.some((other) => other.crashes.includes(crash)))
      .filter((crash) => isCorrelated(crashes, crash));
    return crashes.length >= others.length;
  }

  private getCrash(replica: string): Crash {
    const known = this.crashes.get(replica);
    if (known !== undefined) {
      return known;
    }
    this.evict();
    const at = this.clock.now();
    const crash = { replica, at, fingerprints: new Set<string>(), cleared: new Set<string>() };
    this.crashes.set(replica, crash);
    return crash;
  }

  /** Removes expired crashes, and the oldest ones beyond the limit. */
  private evict(): void {
    const oldest = this.clock.now() - quarantineOptions.crashRetention;
    [...this.crashes.values()].forEach((crash) => {
      if (crash.at < oldest || this.crashes.size >= quarantineOptions.maxCrashes) {
        this.remove(crash);
      }
    });
  }

  private remove({ replica, fingerprints }: Crash): void {
    this.crashes.delete(replica);
    fingerprints.forEach((fingerprint) => {
      const replicas = this.replicas.get(fingerprint);
      replicas?.delete(replica);
      if (replicas?.size === 0) {
        this.replicas.delete(fingerprint);
      }
    });
  }
}
