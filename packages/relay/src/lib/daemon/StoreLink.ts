import type { Clock, Random } from '@apricotrill/utils';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import { StateFollower } from '../follow/StateFollower/StateFollower.js';
import type { FollowListener } from '../follow/StateFollower/StateFollower.js';
import type { RelayLog } from '../observe/RelayEvent.js';

/** What the link is made of. */
export interface StoreLinkParts {
  clock: Clock;
  random: Random;
  log: RelayLog;
}

/** Follows kinds of objects in the store, and knows which of them the store answers for. */
export class StoreLink {
  private readonly followers = new Map<string, StateFollower<unknown>>();

  constructor(private readonly parts: StoreLinkParts) {}

  follow<Item>(
    dependency: string,
    source: ObjectSource<Item>,
    onItems: FollowListener<Item>['onItems'],
  ): void {
    const { clock, random, log } = this.parts;
    const follower = new StateFollower({
      source,
      clock,
      random,
      listener: {
        onItems,
        onLost: (error) => log({ event: 'dependency-lost', dependency, error: error.message }),
        onRegained: (after) => log({ event: 'dependency-regained', dependency, after }),
        onKept: (replica, until) =>
          log({ event: 'replica-kept', replica, until, reason: 'the store was away' }),
      },
    });
    this.followers.set(dependency, follower);
    follower.run().catch((error: unknown) => {
      log({ event: 'fault', step: `follow ${dependency}`, error: String(error) });
    });
  }

  /** The revisions of the last changes that were heard, for other daemons. */
  get lastChanges(): Record<string, number> {
    const changes: Record<string, number> = {};
    this.followers.forEach(({ lastChange }, dependency) => {
      if (lastChange !== undefined) {
        changes[dependency] = lastChange;
      }
    });
    return changes;
  }

  /** What another daemon has heard of. */
  noteChangesElsewhere(changes: Readonly<Record<string, number>>): void {
    Object.entries(changes).forEach(([dependency, revision]) =>
      this.followers.get(dependency)?.noteChangeElsewhere(revision),
    );
  }

  setDaemons(daemons: number): void {
    this.followers.forEach((follower) => follower.setDaemons(daemons));
  }

  /** 1 for each kind of objects whose last call was answered, else 0. */
  get states(): [string, number][] {
    return [...this.followers].map(([dependency, { isReached }]) => [
      dependency,
      Number(isReached),
    ]);
  }

  dispose(): void {
    this.followers.forEach((follower) => follower.dispose());
  }
}
