import { getMixedScore } from '../getMixedScore.js';
import type { ReplicaState } from './ReplicaState.js';

/** About how many replicas are scored one by one. */
const GROUP_SIZE = 32;

interface Group {
  hash: number;
  members: ReplicaState[];
}

function getBest<Candidate extends { hash: number }>(
  key: number,
  candidates: readonly Candidate[],
  except?: Candidate,
): Candidate | undefined {
  let best: Candidate | undefined;
  let highest = -1;
  candidates.forEach((candidate) => {
    const score = getMixedScore(key, candidate.hash);
    if (score > highest && candidate !== except) {
      best = candidate;
      highest = score;
    }
  });
  return best;
}

/**
 * Which replicas a prompt's head prefers, by rendezvous hashing: every daemon sends the same head
 * to the same replica, where its prefix is cached, without agreement. Replicas stand in groups by
 * their hash; the group is chosen first, then the replica in it, so that the cost grows with the
 * square root of the replicas at most.
 *
 * @internal
 */
export class PrefixAffinity {
  private groups: Group[] = [];

  /** Takes the replicas that may be preferred. */
  setMembers(members: readonly ReplicaState[]): void {
    const count = 2 ** Math.max(0, Math.round(Math.log2(members.length / GROUP_SIZE)));
    const groups = Array.from({ length: count }, (_, hash): Group => ({ hash, members: [] }));
    members.forEach((member) => groups[member.hash % count]!.members.push(member));
    this.groups = groups.filter((group) => group.members.length > 0);
  }

  /**
   * The first and the second choice of a key.
   *
   * @param key - hash of service, model, workspace and prompt head
   */
  getPreferred(key: number): ReplicaState[] {
    const members = getBest(key, this.groups)?.members ?? [];
    const first = getBest(key, members);
    const second = getBest(key, members, first);
    return [first, second].filter((state) => state !== undefined);
  }
}
