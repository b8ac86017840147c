import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { QuarantinedContent } from '../../messages.js';
import { quarantineOptions } from '../quarantineOptions.js';

/** Where an entry comes from. */
export enum EntryOrigin {
  /** This daemon reports and stores it. */
  Own = 'own',
  /** Another daemon has quarantined it while this one was running. */
  Reported = 'reported',
  /** It is older than this daemon's process. */
  Restored = 'restored',
}

interface Entry {
  until: Milliseconds;
  addedAt: Milliseconds;
  replicas: string[];
  origin: EntryOrigin;
  /** Number of requests that were let through to find out whether the entry is right. */
  trials: number;
  nextTrialAt: Milliseconds;
  /** Whether a replica has crashed since all daemons must have known the entry. */
  isConfirmed: boolean;
}

/** A new entry. */
export interface NewEntry {
  duration: Milliseconds;
  replicas: readonly string[];
  origin: EntryOrigin;
}

/**
 * Keeps quarantined content until its term ends or it is released.
 *
 * An entry about a part of prompts affects many requests, and so does a false one. After a delay,
 * one request is therefore let through as a trial: if it is served, the part is released.
 */
export class QuarantineEntries {
  private readonly entries = new Map<string, Entry>();

  /** Released content, and until when reports from other daemons are rejected. */
  private readonly released = new Map<string, Milliseconds>();

  /** Index of the first entry of the next regular message. */
  private nextRepeated = 0;

  constructor(private readonly clock: Clock) {}

  get size(): number {
    this.expire();
    return this.entries.size;
  }

  /** Fingerprints of all entries. */
  get fingerprints(): string[] {
    this.expire();
    return [...this.entries.keys()];
  }

  has(fingerprint: string): boolean {
    return (this.entries.get(fingerprint)?.until ?? 0) > this.clock.now();
  }

  /** Adds content, or extends its term. @returns whether it is new */
  add(fingerprint: string, { duration, replicas, origin }: NewEntry): boolean {
    const now = this.clock.now();
    const until = now + Math.min(duration, quarantineOptions.duration);
    const known = this.entries.get(fingerprint);
    if (known !== undefined) {
      known.until = Math.max(known.until, until);
      return false;
    }
    this.evict();
    this.entries.set(fingerprint, {
      until,
      addedAt: now,
      replicas: [...replicas],
      origin,
      trials: 0,
      nextTrialAt: now + quarantineOptions.trialDelay,
      isConfirmed: false,
    });
    return true;
  }

  /** Removes content. @returns where its entry came from, if there was one */
  release(fingerprint: string): EntryOrigin | undefined {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined) {
      return undefined;
    }
    this.entries.delete(fingerprint);
    this.released.set(fingerprint, this.clock.now() + quarantineOptions.releaseRetention);
    return entry.origin;
  }

  wasReleased(fingerprint: string): boolean {
    return (this.released.get(fingerprint) ?? 0) > this.clock.now();
  }

  /** Records a crash with the content in flight. It rules out trials if it was one of a trial. */
  recordCrash(fingerprint: string): void {
    const entry = this.entries.get(fingerprint);
    if (
      entry !== undefined &&
      this.clock.now() > entry.addedAt + quarantineOptions.trialDelay / 2
    ) {
      entry.isConfirmed = true;
    }
  }

  /** Takes a trial. @returns false if none is due */
  tryTakeTrial(fingerprint: string): boolean {
    const nextTrialAt = this.entries.get(fingerprint)?.nextTrialAt ?? Number.POSITIVE_INFINITY;
    return this.clock.now() >= nextTrialAt && this.tryRepeatTrial(fingerprint);
  }

  /** Takes another attempt of a trial that had no result. @returns false if there is none left */
  tryRepeatTrial(fingerprint: string): boolean {
    const entry = this.entries.get(fingerprint);
    const isAllowed =
      entry !== undefined &&
      !entry.isConfirmed &&
      entry.origin !== EntryOrigin.Restored &&
      entry.trials < quarantineOptions.maxTrials;
    if (isAllowed) {
      entry.trials += 1;
      entry.nextTrialAt = this.clock.now() + quarantineOptions.trialDelay;
    }
    return isAllowed;
  }

  /** Describes content for other daemons and the store. */
  describe(fingerprint: string): QuarantinedContent {
    const { until, replicas } = this.entries.get(fingerprint)!;
    return {
      fingerprint,
      remaining: until - this.clock.now(),
      replicas: replicas.slice(0, quarantineOptions.crashThreshold),
    };
  }

  /** Returns the next entries to repeat to other daemons, in turn. */
  takeRepeated(): QuarantinedContent[] {
    const { fingerprints } = this;
    const first = this.nextRepeated < fingerprints.length ? this.nextRepeated : 0;
    const repeated = fingerprints.slice(first, first + quarantineOptions.maxEntriesPerDatagram);
    this.nextRepeated = first + repeated.length;
    return repeated.map((fingerprint) => this.describe(fingerprint));
  }

  private evict(): void {
    this.expire();
    if (this.entries.size >= quarantineOptions.maxEntries) {
      const [first] = [...this.entries].sort(([, left], [, right]) => left.until - right.until);
      this.entries.delete(first![0]);
    }
  }

  private expire(): void {
    const now = this.clock.now();
    this.released.forEach((until, fingerprint) => {
      if (until <= now) {
        this.released.delete(fingerprint);
      }
    });
    this.entries.forEach(({ until }, fingerprint) => {
      if (until <= now) {
        this.entries.delete(fingerprint);
      }
    });
  }
}
