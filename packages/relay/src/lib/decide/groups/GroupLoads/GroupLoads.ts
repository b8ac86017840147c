import type { Milliseconds } from '@apricotrill/utils';
import type { GroupLoad } from '../../messages.js';

/** Options for the loads that placers announce. */
export const groupLoadOptions = {
  /** Time in which a load counts in full. Placers announce their loads about once a second. */
  interval: 1_200 satisfies Milliseconds,
  /** After this time beyond the interval, a load counts for half. */
  halfLife: 1_000 satisfies Milliseconds,
  /** A load is forgotten after this time, in which three announcements were missed. */
  maxAge: 3_500 satisfies Milliseconds,
};

/** The load of a group as far as it is known. */
export interface KnownGroupLoad extends GroupLoad {
  /** Time since it was announced. */
  age: Milliseconds;
  /** How much it still counts, from 1 towards 0. */
  weight: number;
}

interface Announcement {
  load: GroupLoad;
  announcedAt: Milliseconds;
}

/**
 * The loads of replica groups, as their placers announced them.
 *
 * Load pattern: demand that changes within a second, and announcements that are lost. A load that is a
 * few seconds old says little about the group, so it counts less with age and is then forgotten.
 */
export class GroupLoads {
  /** By group and sender. */
  private readonly announcements = new Map<string, Map<string, Announcement>>();

  private hasRecorded = false;

  private removedAt: Milliseconds = 0;

  /** Number of groups with an announcement. */
  get size(): number {
    return this.announcements.size;
  }

  /** Whether any load was ever announced. */
  get isInUse(): boolean {
    return this.hasRecorded;
  }

  /** Records the load that a daemon announced of a group of which it is a placer. */
  record(sender: string, load: GroupLoad, now: Milliseconds): void {
    this.hasRecorded = true;
    this.removeOld(now);
    const senders = this.announcements.get(load.group) ?? new Map<string, Announcement>();
    this.announcements.set(load.group, senders);
    senders.set(sender, { load, announcedAt: now });
  }

  /**
   * Updates the wait that a daemon announced of a group with the one of a request that it has just placed
   * there, which is newer. Its room stays as announced.
   */
  recordWait(sender: string, group: string, expectedWait: Milliseconds, now: Milliseconds): void {
    const load = this.announcements.get(group)?.get(sender)?.load;
    if (load !== undefined) {
      this.record(sender, { ...load, expectedWait }, now);
    }
  }

  /**
   * Gets the load of a group: what its placer announced, else its deputy, else the newest of others,
   * which consider themselves its placers. Undefined if none of them has announced it recently.
   *
   * @param placers - the placer of the group, and its deputy
   */
  get(group: string, placers: readonly string[], now: Milliseconds): KnownGroupLoad | undefined {
    const recent = [...(this.announcements.get(group) ?? [])]
      .filter(([, { announcedAt }]) => now - announcedAt <= groupLoadOptions.maxAge)
      .sort(([, left], [, right]) => right.announcedAt - left.announcedAt);
    const ofPlacers = placers.map((placer) => recent.find(([sender]) => sender === placer));
    const announcement = (ofPlacers.find((found) => found !== undefined) ?? recent[0])?.[1];
    if (announcement === undefined) {
      return undefined;
    }
    const age = now - announcement.announcedAt;
    const overdue = Math.max(0, age - groupLoadOptions.interval);
    return { ...announcement.load, age, weight: 2 ** (-overdue / groupLoadOptions.halfLife) };
  }

  /** Removes old announcements, so that groups and senders that are gone take no memory. */
  private removeOld(now: Milliseconds): void {
    if (now - this.removedAt < groupLoadOptions.maxAge) {
      return;
    }
    this.removedAt = now;
    this.announcements.forEach((senders, group) => {
      [...senders]
        .filter(([, { announcedAt }]) => now - announcedAt > groupLoadOptions.maxAge)
        .forEach(([sender]) => senders.delete(sender));
      if (senders.size === 0) {
        this.announcements.delete(group);
      }
    });
  }
}
