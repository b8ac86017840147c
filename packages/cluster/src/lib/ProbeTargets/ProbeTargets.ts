import { getHash } from '@apricotrill/utils';
import type { ClusterOptions } from '../clusterOptions.js';
import type { DaemonIdentity } from '../Member.js';
import { isRunning, MemberState } from '../Member.js';
import type { MemberTable } from '../MemberTable/MemberTable.js';

const HASH_SPACE = 2 ** 32;

/** The most members that are probed on one ring when the nearest ones are suspected. */
const MAX_SUCCESSORS = 4;

/** The index of the lowest distance above `lowerBound`; -1 if there is none. */
function getNextIndex(distances: readonly number[], lowerBound: number): number {
  let next = -1;
  distances.forEach((distance, index) => {
    if (distance > lowerBound && (next < 0 || distance < distances[next]!)) {
      next = index;
    }
  });
  return next;
}

/**
 * The successors of a daemon on a ring, in order, up to the first one that `shouldStop` accepts.
 * Each is found by a linear scan, since the first successor is nearly always sufficient.
 */
function getSuccessors(
  self: string,
  members: readonly string[],
  ring: number,
  shouldStop: (member: string, count: number) => boolean,
): string[] {
  const start = getHash(self, ring);
  const distances = members.map(
    (member) => (getHash(member, ring) - start + HASH_SPACE) % HASH_SPACE,
  );
  const successors: string[] = [];
  let next = getNextIndex(distances, -1);
  while (next >= 0) {
    successors.push(members[next]!);
    const isLast = shouldStop(members[next]!, successors.length);
    next = isLast ? -1 : getNextIndex(distances, distances[next]!);
  }
  return successors;
}

/**
 * Selects the members that a daemon probes. Each daemon has a position on several hash rings and
 * probes its successor on each, so that every daemon is probed by as many others on average, over
 * connections that stay open. Random probing, as SWIM does over UDP, would open a TCP connection for
 * nearly every probe in a cluster of 1,800 daemons.
 *
 * A region's rings contain only its own daemons, so that a partition between regions
 * causes no suspicions. Each daemon keeps one link into every other region.
 */
export class ProbeTargets {
  private computedVersion = -1;

  private neighbours: string[] = [];

  private regions = new Map<string, string[]>();

  constructor(
    private readonly self: DaemonIdentity,
    private readonly table: MemberTable,
    private readonly options: ClusterOptions,
  ) {}

  /** The successors on the rings of this daemon's region, without duplicates. */
  getNeighbours(): readonly string[] {
    this.refresh();
    return this.neighbours;
  }

  /** The running members by region, excluding this daemon. */
  getRegions(): ReadonlyMap<string, readonly string[]> {
    this.refresh();
    return this.regions;
  }

  /**
   * The member of another region to use as this daemon's link into it. Successive attempts go
   * through the region's members in ring order.
   */
  getLink(region: string, attempt: number): string | undefined {
    const members = this.getRegions().get(region) ?? [];
    const position = (attempt % Math.max(1, members.length)) + 1;
    const successors = getSuccessors(this.self.id, members, 0, (_, count) => count === position);
    return successors[position - 1];
  }

  /** The number of running daemons in a region, including this one. */
  getRegionSize(region: string): number {
    const others = this.getRegions().get(region)?.length ?? 0;
    return region === this.self.region ? others + 1 : others;
  }

  /**
   * Whether the member is in this daemon's region. Only then may this daemon suspect it or declare
   * it dead: each region detects the failures of its own daemons.
   */
  isInOwnRegion(member: string): boolean {
    return this.table.get(member)?.record.region === this.self.region;
  }

  /**
   * Whether calls to the member count as evidence about this daemon's own network. All members of
   * another region become unreachable together, which says nothing about the local network, unless
   * this daemon's region is too small to judge by.
   */
  isLocalHealthEvidence(member: string): boolean {
    const isAmongFew = this.getRegionSize(this.self.region) < this.options.smallRegionSize;
    return isAmongFew || this.isInOwnRegion(member);
  }

  private refresh(): void {
    if (this.computedVersion === this.table.version) {
      return;
    }
    this.computedVersion = this.table.version;
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
   * Each ring considers only members that no earlier ring has selected. If a successor is suspected,
   * the one after it is probed as well: when a whole zone fails, many of its daemons were probed
   * only by other failed daemons, and their deaths would be detected one after another.
   */
  private computeNeighbours(members: readonly string[]): string[] {
    const neighbours: string[] = [];
    for (let ring = 0; ring < this.options.probeRings; ring += 1) {
      const others = members.filter((member) => !neighbours.includes(member));
      const isLast = (member: string, count: number) =>
        count === MAX_SUCCESSORS || this.table.get(member)?.record.state !== MemberState.Suspect;
      neighbours.push(...getSuccessors(this.self.id, others, ring, isLast));
    }
    return neighbours;
  }
}
