import { getRendezvousScore } from '../getRendezvousScore.js';
import type { ReplicaState } from './ReplicaState.js';

/** Approximate number of replicas in a group. */
const TARGET_GROUP_SIZE = 32;

interface ReplicaGroup {
  hash: number;
  members: ReplicaState[];
}

function getHighestScored<Candidate extends { hash: number }>(
  key: number,
  candidates: readonly Candidate[],
  excluded?: Candidate,
): Candidate | undefined {
  let best: Candidate | undefined;
  let highestScore = -1;
  candidates.forEach((candidate) => {
    const score = getRendezvousScore(key, candidate.hash);
    if (score > highestScore && candidate !== excluded) {
      best = candidate;
      highestScore = score;
    }
  });
  return best;
}

/**
 * Assigns prompt prefixes to replicas by rendezvous hashing: without coordination, every daemon
 * sends the same prefix to the same replica, where it is cached. Replicas are grouped by their
 * hash. The group is chosen first, then the replica within it, so that the cost grows at most with
 * the square root of the number of replicas.
 *
 * @internal
 */
export class PrefixAffinity {
  private groups: ReplicaGroup[] = [];

  /** Sets the replicas that may be preferred. */
  setMembers(members: readonly ReplicaState[]): void {
    const count = 2 ** Math.max(0, Math.round(Math.log2(members.length / TARGET_GROUP_SIZE)));
    const groups = Array.from({ length: count }, (_, hash): ReplicaGroup => ({
      hash,
      members: [],
    }));
    members.forEach((member) => groups[member.hash % count]!.members.push(member));
    this.groups = groups.filter((group) => group.members.length > 0);
  }

  /**
   * The first and the second choice for a key.
   *
   * @param key - hash of service, model, workspace and prompt prefix
   */
  getPreferred(key: number): ReplicaState[] {
    const members = getHighestScored(key, this.groups)?.members ?? [];
    const first = getHighestScored(key, members);
    const second = getHighestScored(key, members, first);
    return [first, second].filter((state) => state !== undefined);
  }
}
