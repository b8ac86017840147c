import type { ClaimMember } from '../claimTypes.js';
import { getPreferredWitness, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/** Whom an owner names as its witness. */
export class WitnessChoice {
  /** A witness found to have ended, which the members may go on listing for a while. */
  private ended: ClaimMember | undefined;

  constructor(private readonly context: ShardContext) {}

  exclude(witness: ClaimMember | undefined): void {
    this.ended = witness ?? this.ended;
  }

  get(): ClaimMember | undefined {
    const { shard, self, members } = this.context;
    const { ended } = this;
    const candidates = members.filter(
      (member) => ended === undefined || !isSameProcess(member, ended),
    );
    return getPreferredWitness(shard, self, candidates);
  }

  /** Whether a witness is gone, or nearer than it need be. One that is merely not first stays. */
  isOutdated(witness: ClaimMember | undefined): boolean {
    const preferred = this.get();
    if (witness === undefined) {
      return preferred !== undefined;
    }
    const { self, members } = this.context;
    const isLive = members.some((member) => isSameProcess(member, witness));
    const isNear = witness.availabilityZone === self.availabilityZone;
    const isFarAvailable =
      preferred !== undefined && preferred.availabilityZone !== self.availabilityZone;
    return !isLive || (isNear && isFarAvailable);
  }
}
