import { MemberStanding } from '../claimTypes.js';
import type { ClaimMember } from '../claimTypes.js';
import { getPreferredWitness, isActive, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/** Selects the witness of an owner. */
export class WitnessSelector {
  /** A witness known to have ended, which may remain in the list of members for a while. */
  private endedWitness: ClaimMember | undefined;

  constructor(private readonly context: ShardContext) {}

  exclude(witness: ClaimMember | undefined): void {
    this.endedWitness = witness ?? this.endedWitness;
  }

  select(): ClaimMember | undefined {
    const { shard, self, members } = this.context;
    const { endedWitness } = this;
    const candidates = members.filter(
      (member) => endedWitness === undefined || !isSameProcess(member, endedWitness),
    );
    return getPreferredWitness(shard, self, candidates);
  }

  /**
   * Whether a witness has ended for certain or is about to. It must then be replaced before the
   * members have settled: if the owner crashed in the meantime, its grants would be unknown, and
   * the shard would refuse new keys for as long as a grant may be valid.
   */
  isEnding(witness: ClaimMember | undefined): boolean {
    if (witness === undefined) {
      return false;
    }
    const member = this.context.members.find((other) => isSameProcess(other, witness));
    return member === undefined || member.standing === MemberStanding.Passive;
  }

  /**
   * Whether a witness is gone, or is in the owner's availability zone although another zone is
   * possible. A witness that is merely not the most preferred one stays.
   */
  isOutdated(witness: ClaimMember | undefined): boolean {
    const preferred = this.select();
    if (witness === undefined) {
      return preferred !== undefined;
    }
    const { self, members } = this.context;
    const isLive = members.some((member) => isSameProcess(member, witness) && isActive(member));
    const isNear = witness.availabilityZone === self.availabilityZone;
    const isFarAvailable =
      preferred !== undefined && preferred.availabilityZone !== self.availabilityZone;
    return !isLive || (isNear && isFarAvailable);
  }
}
