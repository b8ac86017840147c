import { MemberStanding } from '../claimTypes.js';
import type { ClaimMember } from '../claimTypes.js';
import { getPreferredWitness, isActive, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/** Whom an owner names as its witness. */
export class WitnessSelector {
  /** A witness found to have endedWitness, which the members may go on listing for a while. */
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
   * Whether a witness has ended for certain, or ends soon. That can't wait until the members have
   * settled: if the owner crashed too in the meantime, nobody would know what it granted, and the
   * shard would refuse new keys for as long as a grant may live.
   */
  isEnding(witness: ClaimMember | undefined): boolean {
    if (witness === undefined) {
      return false;
    }
    const member = this.context.members.find((other) => isSameProcess(other, witness));
    return member === undefined || member.standing === MemberStanding.Passive;
  }

  /** Whether a witness is gone, or nearer than it need be. One that is merely not first stays. */
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
