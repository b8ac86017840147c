import { getDecided, getView, TestCluster } from '../../test/TestCluster.js';
import { MemberState } from '../Member.js';

const TWO_REGIONS = { 'fi/a': 3, 'fi/b': 3, 'se/c': 3, 'se/d': 3 };

function createCluster(zones: Record<string, number> = TWO_REGIONS) {
  const cluster = new TestCluster({ zones });
  cluster.run(20_000);
  const getRegion = (id: string) => cluster.get(id)?.host.self.region;
  const cutRegions = () => {
    cluster.faults.canPass = (from, to) => getRegion(from) === getRegion(to);
  };
  return { cluster, cutRegions };
}

describe('RegionReach', () => {
  it('keeps the daemons of a region that is lost, as unreachable, until it is found again', () => {
    // Symptom: when two regions lose each other for minutes, all daemons of the other are dropped
    // one by one and taken back one by one, and every duty moves twice.
    // Sequence: nothing passes between the regions for five minutes.
    // Cause: each daemon is judged alone, and silence across regions counts against it.
    const { cluster, cutRegions } = createCluster();
    cluster.daemons.forEach(({ decisions }) => decisions.splice(0));
    cutRegions();
    cluster.run(300_000);
    cluster.daemons.forEach((daemon) => {
      const members = daemon.host.core.getMembers();
      expect(members.map(({ state }) => state)).toEqual(Array(12).fill(MemberState.Alive));
      expect(members.filter(({ isReachable }) => !isReachable)).toHaveLength(6);
      expect(members.filter(({ isEligible }) => isEligible)).toHaveLength(6);
      expect(daemon.host.core.isCutOff).toBe(false);
      expect(getDecided(daemon, 'member-suspected')).toEqual([]);
    });
    cluster.heal();
    const isWhole = () =>
      cluster.daemons.every(({ host }) =>
        host.core.getMembers().every(({ isEligible }) => isEligible),
      );
    expect(cluster.runUntil(isWhole, 15_000)).toBe(true);
    cluster.dispose();
  });

  it('holds a suspicion from a region that has given no sign of life since', () => {
    // Symptom: a healthy daemon of another region is dropped as the regions lose each other.
    // Sequence: it stops for a moment and is suspected in its region; the word crosses; the regions
    // are cut; it refutes, in its region; the suspicion's time runs out in the other one, before
    // the region counts as unreachable there.
    // Cause: the time to refute goes on while no refutation can come.
    const { cluster, cutRegions } = createCluster();
    const paused = cluster.daemons[11]!;
    const far = cluster.daemons[0]!;
    paused.clock.freeze();
    const isSuspected = () => getView(far, paused.id)?.state === MemberState.Suspect;
    expect(cluster.runUntil(isSuspected, 10_000)).toBe(true);
    cutRegions();
    paused.clock.thaw();
    cluster.run(60_000);
    expect(getView(far, paused.id)?.state).toBe(MemberState.Suspect);
    expect(getView(cluster.daemons[10]!, paused.id)?.state).toBe(MemberState.Alive);
    cluster.dispose();
  });

  it('drops daemons of a lost region once the platform no longer lists them', () => {
    const { cluster, cutRegions } = createCluster();
    cutRegions();
    cluster.run(60_000);
    const gone = cluster.daemons[9]!;
    cluster.crash(gone);
    const isDropped = () =>
      cluster.daemons.slice(0, 6).every((daemon) => !getView(daemon, gone.id));
    expect(cluster.runUntil(isDropped, 60_000)).toBe(true);
    expect(cluster.daemons[0]!.host.core.getMembers()).toHaveLength(11);
    cluster.dispose();
  });

  it('notices a crash in a region of two', () => {
    // Symptom: a dead daemon of a small region stays in the view.
    // Sequence: one of two daemons of a region crashes; its instance is still listed.
    // Cause: the other one, whose only neighbour is silent, takes itself for cut off.
    const { cluster } = createCluster({ 'fi/a': 6, 'se/b': 2 });
    const gone = cluster.daemons[6]!;
    cluster.crash(gone, true);
    const isGone = () => cluster.daemons.every((daemon) => !getView(daemon, gone.id));
    expect(cluster.runUntil(isGone, 60_000)).toBe(true);
    cluster.dispose();
  });

  it('keeps the daemons of a small region that is lost', () => {
    // Symptom: a region of two daemons is dropped whenever it is cut off.
    // Sequence: nothing passes between it and the larger one for two minutes.
    // Cause: its daemons are judged from outside by their silence, or take each other for dead.
    const { cluster, cutRegions } = createCluster({ 'fi/a': 6, 'se/b': 2 });
    cutRegions();
    cluster.run(120_000);
    const counts = cluster.daemons.map(({ host }) => host.core.memberCount);
    expect(counts).toEqual(Array(8).fill(8));
    cluster.dispose();
  });
});
