import type { Clock, Milliseconds } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';

/** A replica with broken attempts that is not known to have crashed. */
interface PossibleCrash {
  at: Milliseconds;
  fingerprints: Set<string>;
  /** Whether its address accepts connections; the listener may already be a successor. */
  isUp: boolean;
}

/** Tracks replicas with broken attempts until it is known whether they crashed. */
export class PossibleCrashes {
  private readonly byReplica = new Map<string, PossibleCrash>();

  constructor(private readonly clock: Clock) {}

  /** @returns whether the replica was not tracked, so that it has to be probed */
  add(replica: string, fingerprints: readonly string[]): boolean {
    this.expire();
    const known = this.byReplica.get(replica);
    if (known !== undefined) {
      fingerprints.forEach((fingerprint) => known.fingerprints.add(fingerprint));
      return false;
    }
    const at = this.clock.now();
    this.byReplica.set(replica, { at, fingerprints: new Set(fingerprints), isUp: false });
    return true;
  }

  /** Records that the address of a replica accepts connections. */
  recordUp(replica: string): void {
    const possible = this.byReplica.get(replica);
    if (possible !== undefined) {
      possible.isUp = true;
    }
  }

  /** Whether the replica is tracked. */
  has(replica: string): boolean {
    this.expire();
    return this.byReplica.has(replica);
  }

  /** Removes a replica. @returns the content that was in flight, if it was tracked */
  take(replica: string): string[] | undefined {
    this.expire();
    const possible = this.byReplica.get(replica);
    this.byReplica.delete(replica);
    return possible === undefined ? undefined : [...possible.fingerprints];
  }

  /** Removes content that a replica has served. */
  clear(fingerprint: string): void {
    this.byReplica.forEach(({ fingerprints }) => fingerprints.delete(fingerprint));
  }

  /** Whether the content was in flight at a replica that may have crashed. */
  includes(fingerprint: string): boolean {
    this.expire();
    return [...this.byReplica.values()].some(
      ({ fingerprints, isUp }) => !isUp && fingerprints.has(fingerprint),
    );
  }

  private expire(): void {
    const oldest = this.clock.now() - quarantineOptions.possibleCrashRetention;
    this.byReplica.forEach(({ at }, replica) => {
      if (at < oldest) {
        this.byReplica.delete(replica);
      }
    });
  }
}
