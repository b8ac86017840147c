import { getHash } from '@apricotrill/utils';
import type { ClusterOptions } from '../clusterOptions.js';
import type { DaemonIdentity } from '../Member.js';
import { isRunning, MemberState } from '../Member.js';
import type { MemberTable } from '../MemberTable/MemberTable.js';

const CIRCLE = 2 ** 32;

/** More suspects than this are not looked behind on one ring. */
const MAX_FOLLOWERS = 4;

/** The index of the lowest distance above `passed`; -1 when there is none. */
function getNext(distances: readonly number[], passed: number): number {
  let next = -1;
  distances.forEach((distance, index) => {
    if (distance > passed && (next < 0 || distance < distances[next]!)) {
      next = index;
    }
  });
  return next;
}

/**
 * The members that follow a daemon's place on a ring, in order, up to the first that `isEnough`.
 * Each is found by going through all of them: nearly always the first one is enough.
 */
function getFollowers(
  self: string,
  members: readonly string[],
  ring: number,
  isEnough: (member: string, count: number) => boolean,
): string[] {
  const start = getHash(self, ring);
  const distances = members.map((member) => (getHash(member, ring) - start + CIRCLE) % CIRCLE);
  const followers: string[] = [];
  let next = getNext(distances, -1);
  while (next >= 0) {
    followers.push(members[next]!);
    const isLast = isEnough(members[next]!, followers.length);
    next = isLast ? -1 : getNext(distances, distances[next]!);
  }
  return followers;
}

/**
 * Whom a daemon probes. Each daemon has a place on several rings; it probes its next neighbour on
 * each, so that everybody is probed by as many others, over connections that stay open. Probing
 * anybody at random, as usual over UDP, would open a TCP connection for each probe at 1,800.
 *
 * The rings of a region hold its own daemons only: when regions lose each other, nobody is
 * suspected for it. Into each other region a daemon keeps one link.
 */
export class ProbeTargets {
  private computedAt = -1;

  private neighbours: string[] = [];

  private regions = new Map<string, string[]>();

  constructor(
    private readonly self: DaemonIdentity,
    private readonly table: MemberTable,
    private readonly options: ClusterOptions,
  ) {}

  /** The next neighbours on the rings of the own region, without repetition. */
  getNeighbours(): readonly string[] {
    this.refresh();
    return this.neighbours;
  }

  /** The running members by region, without this daemon. */
  getRegions(): ReadonlyMap<string, readonly string[]> {
    this.refresh();
    return this.regions;
  }

  /** The members of another region in the order in which this daemon tries them as its link. */
  getLink(region: string, attempt: number): string | undefined {
    const members = this.getRegions().get(region) ?? [];
    const place = (attempt % Math.max(1, members.length)) + 1;
    const followers = getFollowers(this.self.id, members, 0, (_, count) => count === place);
    return followers[place - 1];
  }

  /** How many daemons a region has, this one among them. */
  getRegionSize(region: string): number {
    const others = this.getRegions().get(region)?.length ?? 0;
    return region === this.self.region ? others + 1 : others;
  }

  /** Whether this daemon may suspect the member and declare it dead: each region judges its own. */
  isOursToJudge(member: string): boolean {
    return this.table.get(member)?.record.region === this.self.region;
  }

  /**
   * Whether a member's silence can speak for a fault of this daemon's own network. Other regions
   * are lost together, which says nothing about it, unless they are nearly all there is.
   */
  isInOwnCircle(member: string): boolean {
    const isAmongFew = this.getRegionSize(this.self.region) < this.options.smallRegion;
    return isAmongFew || this.isOursToJudge(member);
  }

  private refresh(): void {
    if (this.computedAt === this.table.version) {
      return;
    }
    this.computedAt = this.table.version;
    this.regions = new Map();
    [...this.table.values()]
      .filter(({ record }) => isRunning(record.state))
      .forEach(({ record }) => this.addToRegion(record));
    this.neighbours = this.computeNeighbours(this.regions.get(this.self.region) ?? []);
  }

  private addToRegion({ id, region }: DaemonIdentity): void {
    const members = this.regions.get(region);
    if (members === undefined) {
      this.regions.set(region, [id]);
    } else {
      members.push(id);
    }
  }

  /**
   * Each ring's neighbours are sought among those that no earlier ring has taken. Behind a suspect
   * the next one is probed as well: when a whole zone fails, many of the dead were probed by dead
   * ones only, and would be noticed one death after the other.
   */
  private computeNeighbours(members: readonly string[]): string[] {
    const neighbours: string[] = [];
    for (let ring = 0; ring < this.options.probeRings; ring += 1) {
      const others = members.filter((member) => !neighbours.includes(member));
      const isEnough = (member: string, count: number) =>
        count === MAX_FOLLOWERS || this.table.get(member)?.record.state !== MemberState.Suspect;
      neighbours.push(...getFollowers(this.self.id, others, ring, isEnough));
    }
    return neighbours;
  }
}
