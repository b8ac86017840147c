import { getMembersOfEvents, getView, TestCluster } from '../../test/TestCluster.js';
import { MemberState } from '../Member.js';

const TWO_REGIONS = { 'fi/a': 3, 'fi/b': 3, 'se/c': 3, 'se/d': 3 };

function createCluster(zones: Record<string, number> = TWO_REGIONS) {
  const cluster = new TestCluster({ zones });
  cluster.run(20_000);
  const getRegion = (id: string) => cluster.get(id)?.host.self.region;
  const partitionRegions = () => {
    cluster.faults.canPass = (from, to) => getRegion(from) === getRegion(to);
  };
  return { cluster, partitionRegions };
}

describe('RegionReachability', () => {
  it('keeps the daemons of an unreachable region, marked unreachable, until it is reachable again', () => {
    // Guards against a partition of two regions for five minutes in which each side drops all
    // daemons of the other one by one and adds them again later, which moves every duty twice,
    // because silence across regions is held against each daemon.
    const { cluster, partitionRegions } = createCluster();
    cluster.daemons.forEach(({ events }) => events.splice(0));
    partitionRegions();
    cluster.run(300_000);
    cluster.daemons.forEach((daemon) => {
      const members = daemon.host.core.getMembers();
      expect(members.map(({ state }) => state)).toEqual(Array(12).fill(MemberState.Alive));
      expect(members.filter(({ isReachable }) => !isReachable)).toHaveLength(6);
      expect(members.filter(({ isEligible }) => isEligible)).toHaveLength(6);
      expect(daemon.host.core.isCutOff).toBe(false);
      expect(getMembersOfEvents(daemon, 'member-suspected')).toEqual([]);
    });
    cluster.heal();
    const areAllEligible = () =>
      cluster.daemons.every(({ host }) =>
        host.core.getMembers().every(({ isEligible }) => isEligible),
      );
    expect(cluster.runUntil(areAllEligible, 15_000)).toBe(true);
    cluster.dispose();
  });

  it('keeps a suspicion pending if nothing was received from its region since', () => {
    // Guards against a paused daemon that is suspected in its region and dropped in another: the
    // suspicion crosses before the regions are partitioned, the refutation does not, and the
    // suspicion times out before the region counts as unreachable.
    const { cluster, partitionRegions } = createCluster();
    const paused = cluster.daemons[11]!;
    const remote = cluster.daemons[0]!;
    paused.clock.freeze();
    const isSuspected = () => getView(remote, paused.id)?.state === MemberState.Suspect;
    expect(cluster.runUntil(isSuspected, 10_000)).toBe(true);
    partitionRegions();
    paused.clock.thaw();
    cluster.run(60_000);
    expect(getView(remote, paused.id)?.state).toBe(MemberState.Suspect);
    expect(getView(cluster.daemons[10]!, paused.id)?.state).toBe(MemberState.Alive);
    cluster.dispose();
  });

  it('drops daemons of an unreachable region once the platform no longer lists them', () => {
    const { cluster, partitionRegions } = createCluster();
    partitionRegions();
    cluster.run(60_000);
    const gone = cluster.daemons[9]!;
    cluster.crash(gone);
    const isDropped = () =>
      cluster.daemons.slice(0, 6).every((daemon) => !getView(daemon, gone.id));
    expect(cluster.runUntil(isDropped, 60_000)).toBe(true);
    expect(cluster.daemons[0]!.host.core.getMembers()).toHaveLength(11);
    cluster.dispose();
  });

  it('detects a crash in a region of two daemons', () => {
    // Guards against a crashed daemon that stays in the view: it is still listed, and the only
    // other daemon of its region considers itself cut off, because its only neighbour is silent.
    const { cluster } = createCluster({ 'fi/a': 6, 'se/b': 2 });
    const gone = cluster.daemons[6]!;
    cluster.crash(gone, true);
    const isGone = () => cluster.daemons.every((daemon) => !getView(daemon, gone.id));
    expect(cluster.runUntil(isGone, 60_000)).toBe(true);
    cluster.dispose();
  });

  it('keeps the daemons of a small unreachable region', () => {
    // Guards against a region of two daemons that is dropped when it is partitioned from the larger
    // one for two minutes, because its daemons are declared dead from outside, or by each other.
    const { cluster, partitionRegions } = createCluster({ 'fi/a': 6, 'se/b': 2 });
    partitionRegions();
    cluster.run(120_000);
    const counts = cluster.daemons.map(({ host }) => host.core.memberCount);
    expect(counts).toEqual(Array(8).fill(8));
    cluster.dispose();
  });
});
