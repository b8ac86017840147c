import type { Clock, Milliseconds } from '@apricotrill/utils';
import { isPartFingerprint } from '../getFingerprints/getFingerprints.js';
import { quarantineOptions } from '../quarantineOptions.js';

/** A replica that crashed, with the content that was in flight there. */
interface Crash {
  replica: string;
  at: Milliseconds;
  fingerprints: Set<string>;
  /** Content that was in flight there and has been served by another replica since. */
  cleared: Set<string>;
}

/** Content with the crashes that are not attributed to quarantined content. */
interface Candidate {
  fingerprint: string;
  crashes: Crash[];
}

function isCorrelated(crashes: readonly Crash[], { at }: Crash): boolean {
  return crashes.some((crash) => Math.abs(crash.at - at) <= quarantineOptions.correlationWindow);
}

/**
 * Counts the crashes of a candidate. Many requests have a part, so that it is in flight on most of
 * the replicas that fail together; for a part, crashes at the same moment count once.
 */
function countEvidence({ fingerprint, crashes }: Candidate): number {
  if (!isPartFingerprint(fingerprint)) {
    return crashes.length;
  }
  const times = crashes.map(({ at }) => at).sort((left, right) => left - right);
  let last = Number.NEGATIVE_INFINITY;
  return times.filter((at) => {
    const isSeparate = at >= last + quarantineOptions.simultaneousWindow;
    last = isSeparate ? at : last;
    return isSeparate;
  }).length;
}

/** Sorts by number of crashes, descending; a request comes before the parts of its prompt. */
function compareCandidates(left: Candidate, right: Candidate): number {
  return (
    right.crashes.length - left.crashes.length ||
    Number(isPartFingerprint(left.fingerprint)) - Number(isPartFingerprint(right.fingerprint))
  );
}

/** Whether one candidate affects fewer requests than another: it is a request, the other a part. */
function isNarrower(candidate: Candidate, other: Candidate): boolean {
  return !isPartFingerprint(candidate.fingerprint) && isPartFingerprint(other.fingerprint);
}

/** Whether another candidate shares one of the crashes and has at least as many in total. */
function isAmbiguous(candidate: Candidate, candidates: readonly Candidate[]): boolean {
  return candidates.some(
    (other) =>
      other !== candidate &&
      other.crashes.length >= candidate.crashes.length &&
      !(other.crashes.length === candidate.crashes.length && isNarrower(candidate, other)) &&
      other.crashes.some((crash) => candidate.crashes.includes(crash)),
  );
}

/**
 * Records what was in flight on replicas that crashed, and determines which content is responsible:
 * a request, or a part that the prompts of several requests share.
 *
 * A crash ends all requests on its replica, so presence at one crash is not sufficient evidence.
 * Crashes that content shares with quarantined content are not attributed to it, unless it is a part
 * that was in flight at all of these crashes and at further ones. Below the certain threshold,
 * content is not held responsible either while more replicas crash around the same time without any
 * candidate, as in a power failure.
 */
export class CrashLedger {
  /** By replica ID, oldest first. */
  private readonly crashes = new Map<string, Crash>();

  /** IDs of crashed replicas, by fingerprint of what was in flight. */
  private readonly replicas = new Map<string, Set<string>>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records a crash, or adds content to a recorded one.
   *
   * @returns the fingerprints that were added
   */
  add(replica: string, fingerprints: readonly string[]): string[] {
    const crash = this.getCrash(replica);
    const room = quarantineOptions.maxFingerprintsPerCrash - crash.fingerprints.size;
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

  /** Removes content from all crashes, after a replica has served it and kept running. */
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

  /** Returns the IDs of replicas that crashed with the content in flight. */
  getReplicas(fingerprint: string): string[] {
    return [...(this.replicas.get(fingerprint) ?? [])];
  }

  /** Whether a replica crashed with the content in flight. */
  includes(fingerprint: string): boolean {
    return this.replicas.has(fingerprint);
  }

  /** Whether a part was in flight at all crashes of other content. */
  isExplainedBy(fingerprint: string, part: string): boolean {
    const replicas = this.replicas.get(part);
    return this.getReplicas(fingerprint).every((replica) => replicas?.has(replica) === true);
  }

  /**
   * Returns the content that is responsible for crashes, in the order of detection.
   *
   * @param isQuarantined - whether content is already quarantined; its crashes are not attributed to
   *   other content
   */
  findResponsible(isQuarantined: (fingerprint: string) => boolean): string[] {
    const found = new Set<string>();
    for (;;) {
      const known = [...this.replicas.keys()].filter(
        (fingerprint) => found.has(fingerprint) || isQuarantined(fingerprint),
      );
      const unexplained = [...this.crashes.values()].filter(
        ({ fingerprints }) => !known.some((fingerprint) => fingerprints.has(fingerprint)),
      );
      const candidates = this.getCandidates(known);
      const next = candidates.find((candidate) =>
        CrashLedger.isResponsible(candidate, candidates, unexplained),
      );
      if (next === undefined) {
        return [...found];
      }
      found.add(next.fingerprint);
    }
  }

  /** Returns the content that reaches the crash threshold, the most suspect first. */
  private getCandidates(known: readonly string[]): Candidate[] {
    const candidates = new Map<string, Candidate>();
    this.crashes.forEach((crash) => {
      const responsible = known.filter((fingerprint) => crash.fingerprints.has(fingerprint));
      crash.fingerprints.forEach((fingerprint) => {
        const isExplained = responsible.some((other) => !this.isDominant(fingerprint, other));
        if (isExplained || responsible.includes(fingerprint)) {
          return;
        }
        const candidate = candidates.get(fingerprint) ?? { fingerprint, crashes: [] };
        candidate.crashes.push(crash);
        candidates.set(fingerprint, candidate);
      });
    });
    return [...candidates.values()]
      .filter((candidate) => countEvidence(candidate) >= quarantineOptions.crashThreshold)
      .sort(compareCandidates);
  }

  /** Whether a part explains the crashes of quarantined content, and further ones. */
  private isDominant(fingerprint: string, quarantined: string): boolean {
    const margin = isPartFingerprint(quarantined) ? quarantineOptions.dominanceMargin : 1;
    const count = this.getCount(fingerprint);
    return (
      isPartFingerprint(fingerprint) &&
      count >= this.getCount(quarantined) + margin &&
      this.isExplainedBy(quarantined, fingerprint)
    );
  }

  private getCount(fingerprint: string): number {
    return this.replicas.get(fingerprint)?.size ?? 0;
  }

  private static isResponsible(
    candidate: Candidate,
    candidates: readonly Candidate[],
    unexplained: readonly Crash[],
  ): boolean {
    const { crashes } = candidate;
    const evidence = countEvidence(candidate);
    const { crashThreshold, certainThreshold, distinctThreshold } = quarantineOptions;
    // Content that was in flight at the same crashes can only be distinguished by further crashes.
    const maxAmbiguous = isPartFingerprint(candidate.fingerprint)
      ? distinctThreshold - 1
      : crashThreshold;
    if (evidence <= maxAmbiguous && isAmbiguous(candidate, candidates)) {
      return false;
    }
    if (evidence >= certainThreshold) {
      return true;
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
