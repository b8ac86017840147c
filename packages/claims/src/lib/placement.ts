import { getHash, getRendezvousOrder } from '@apricotrill/utils';
import { MemberStanding } from './claimTypes.js';
import type { ClaimHolder, ClaimMember } from './claimTypes.js';

/**
 * The name that a key is stored under. The workspace is encoded, so that a slash in its name cannot
 * make two workspaces share a key.
 *
 * @example
 * ```ts
 * getClaimName('painotuote', 'order-17'); // 'painotuote/order-17'
 * ```
 * @public
 */
export function getClaimName(workspace: string, key: string): string {
  return `${encodeURIComponent(workspace)}/${key}`;
}

/**
 * The shard that a name belongs to.
 *
 * @example
 * ```ts
 * const shard = getClaimShard(getClaimName(workspace, key), options.shards);
 * ```
 * @public
 */
export function getClaimShard(name: string, shards: number): number {
  return getHash(name) % shards;
}

/** Whether a member may be given new duties. */
export function isActive({ standing = MemberStanding.Active }: ClaimMember): boolean {
  return standing === MemberStanding.Active;
}

/** Whether a member does not respond at the moment. */
export function isSuspect({ standing }: ClaimMember): boolean {
  return standing === MemberStanding.Suspect;
}

/**
 * The active members in order of preference for owning a shard.
 *
 * @example
 * ```ts
 * const [preferred] = getOwnerOrder(shard, members);
 * ```
 * @public
 */
export function getOwnerOrder(shard: number, members: readonly ClaimMember[]): ClaimMember[] {
  const byId = new Map(members.filter(isActive).map((member) => [member.id, member]));
  return getRendezvousOrder(`claims/${shard}`, [...byId.keys()]).map((id) => byId.get(id)!);
}

/**
 * The witness that an owner should choose: the most preferred other member, if possible in another
 * availability zone, so that one power failure does not affect both.
 *
 * @returns undefined when the owner is alone
 * @example
 * ```ts
 * const witness = getPreferredWitness(shard, self, members);
 * ```
 * @public
 */
export function getPreferredWitness(
  shard: number,
  owner: ClaimMember,
  members: readonly ClaimMember[],
): ClaimMember | undefined {
  const others = getOwnerOrder(shard, members).filter(({ id }) => id !== owner.id);
  const apart = others.find(({ availabilityZone }) => availabilityZone !== owner.availabilityZone);
  return apart ?? others[0];
}

/**
 * Whether two records refer to the same process.
 *
 * @example
 * ```ts
 * if (isSameProcess(head.owner, self)) { … }
 * ```
 * @public
 */
export function isSameProcess(left: ClaimHolder, right: ClaimHolder): boolean {
  return left.id === right.id && left.incarnation === right.incarnation;
}
