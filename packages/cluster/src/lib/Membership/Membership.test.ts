import { getMembersOfEvents, getView, TestCluster } from '../../test/TestCluster.js';
import type { Member } from '../Member.js';
import { MemberState } from '../Member.js';

const NINE_DAEMONS = { 'fi/a': 3, 'fi/b': 3, 'fi/c': 3 };

const clusters: TestCluster[] = [];

function createCluster(settings: ConstructorParameters<typeof TestCluster>[0]) {
  const cluster = new TestCluster(settings);
  clusters.push(cluster);
  cluster.run(20_000);
  return cluster;
}

afterEach(() => clusters.splice(0).forEach((cluster) => cluster.dispose()));

describe('Membership', () => {
  it('declares a crashed daemon dead on all daemons, and its next process alive', () => {
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const [crashed] = cluster.daemons;
    const { incarnation } = getView(cluster.daemons[1]!, crashed!.id)!;
    cluster.crash(crashed!);
    const isGone = () => cluster.daemons.every((daemon) => !getView(daemon, crashed!.id));
    expect(cluster.runUntil(isGone, 15_000)).toBe(true);
    cluster.restart(crashed!);
    const isBack = () =>
      cluster.daemons.every(
        (daemon) => (getView(daemon, crashed!.id)?.incarnation ?? 0) > incarnation,
      );
    expect(cluster.runUntil(isBack, 15_000)).toBe(true);
  });

  it('keeps the view of a daemon whose own network is broken, and lets it rejoin afterwards', () => {
    // Guards against a daemon whose own network breaks declaring all its peers dead and acting as if
    // it were alone. The crash before makes it probe all peers, so that all of its results are
    // recent when its network breaks and one probe after another fails.
    const cluster = createCluster({ zones: { 'fi/a': 20 } });
    const [cutOff, crashed] = cluster.daemons;
    cluster.crash(crashed!);
    cluster.run(6000);
    cluster.isolate(cutOff!);
    cutOff!.events.length = 0;
    cluster.run(300_000);
    expect(getMembersOfEvents(cutOff!, 'member-suspected')).toEqual([]);
    expect(getMembersOfEvents(cutOff!, 'member-dead')).toEqual([crashed!.id]);
    expect(cutOff!.host.core.isCutOff).toBe(true);
    expect(cutOff!.host.core.getMembers()).toHaveLength(19);
    expect(getView(cluster.daemons[1]!, cutOff!.id)).toBeUndefined();
    cluster.heal();
    const isWhole = () =>
      !cutOff!.host.core.isCutOff &&
      cluster.daemons.every((daemon) => daemon.host.core.getMembers().length === 19);
    expect(cluster.runUntil(isWhole, 30_000)).toBe(true);
  });

  it('suspects nobody before another response has shown that its own network works', () => {
    // Guards against a daemon that is cut off suspecting healthy peers, and gossiping it once it is
    // reconnected: many recent probes succeeded, so its network still seems sound when the first
    // direct and indirect pings fail.
    const cluster = createCluster({ zones: { 'fi/a': 20 } });
    const [cutOff] = cluster.daemons;
    const { counters } = cutOff!.host.core;
    // The path to one neighbour is broken, so that the daemon probes more than its neighbours.
    cluster.getOthers(cutOff!).some((far) => {
      const ends = [cutOff!.id, far.id];
      cluster.faults.canPass = (from, to) => !(ends.includes(from) && ends.includes(to));
      return cluster.runUntil(() => counters.probeFailures > 0, 6000);
    });
    cluster.run(15_000);
    cluster.isolate(cutOff!);
    cluster.run(60_000);
    expect(getMembersOfEvents(cutOff!, 'member-suspected')).toEqual([]);
  });

  it('does not let a suspicion time out while the refutation cannot arrive', () => {
    // Guards against a daemon that is cut off declaring healthy members dead that were suspected
    // shortly before: the first daemon pauses and is suspected, the second is cut off and cannot
    // receive the refutation before its suspicion times out.
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const [cutOff, paused] = cluster.daemons;
    paused!.clock.freeze();
    const isSuspected = () => getView(cutOff!, paused!.id)?.state === MemberState.Suspect;
    expect(cluster.runUntil(isSuspected, 10_000)).toBe(true);
    cluster.isolate(cutOff!);
    paused!.clock.thaw();
    cluster.run(120_000);
    expect(getView(cutOff!, paused!.id)?.state).toBe(MemberState.Suspect);
    expect(getMembersOfEvents(cutOff!, 'member-dead')).toEqual([]);
  });

  it('declares nobody dead because of its own pause', () => {
    // Guards against a daemon that resumes after a pause declaring a healthy member dead: the member
    // refuted its suspicion during the pause, and the suspicion's timer runs before the refutation
    // is read from the network.
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const [observer, paused] = cluster.daemons;
    paused!.clock.freeze();
    const isSuspected = () => getView(observer!, paused!.id)?.state === MemberState.Suspect;
    expect(cluster.runUntil(isSuspected, 10_000)).toBe(true);
    observer!.clock.freeze();
    paused!.clock.thaw();
    cluster.run(60_000);
    observer!.clock.thaw();
    cluster.run(30_000);
    expect(getMembersOfEvents(observer!, 'pause-noticed')).toHaveLength(1);
    expect(getMembersOfEvents(observer!, 'member-dead')).toEqual([]);
    expect(getView(observer!, paused!.id)?.state).toBe(MemberState.Alive);
  });

  it('detects its own pause also when a suspicion’s timer is the first to run', () => {
    // As above, with little of the suspicion timeout left when the process is paused.
    const options = { gossipBytesPerSecond: 0, syncInterval: 10_000_000 };
    const cluster = new TestCluster({ zones: { 'fi/a': 1 }, options });
    clusters.push(cluster);
    const [observer] = cluster.daemons;
    const [{ stateSince, ...self }] = observer!.host.core.getMembers() as [Member];
    const record = { ...self, id: 'daemon-x', state: MemberState.Suspect, refutation: 0 };
    const rumours = [{ kind: 'member' as const, record }];
    observer!.host.receive('peer', { kind: 'gossip', generation: 0, rumours }, () => {});
    cluster.run(4950);
    observer!.clock.freeze();
    cluster.run(60_000);
    observer!.clock.thaw();
    expect(getMembersOfEvents(observer!, 'pause-noticed')).toHaveLength(1);
    expect(getMembersOfEvents(observer!, 'member-dead')).toEqual([]);
  });

  it('keeps the leaving state of a member that refutes its death', () => {
    // Guards against a daemon that is shutting down getting new duties: it announces that it is
    // leaving, is cut off and declared dead, reconnects and refutes. The refutation must say
    // leaving, not alive.
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const [leaving, other] = cluster.daemons;
    leaving!.host.core.handle({ kind: 'announce-leaving' });
    cluster.run(5000);
    cluster.isolate(leaving!);
    expect(cluster.runUntil(() => !getView(other!, leaving!.id), 15_000)).toBe(true);
    cluster.heal();
    expect(cluster.runUntil(() => getView(other!, leaving!.id) !== undefined, 30_000)).toBe(true);
    cluster.run(10_000);
    const states = cluster.daemons.map((daemon) => getView(daemon, leaving!.id)?.state);
    expect(new Set(states)).toEqual(new Set([MemberState.Leaving]));
  });

  it('detects a crash although another daemon now answers at the address', () => {
    // Guards against a replaced daemon staying in the view for good: its process ends, a daemon with
    // another id starts at the same address, and its responses are attributed to the old one.
    const cluster = createCluster({ zones: NINE_DAEMONS, listLag: 10_000_000 });
    const [gone, other] = cluster.daemons;
    cluster.crash(gone!);
    const replacement = cluster.restart(gone!, 0, 'daemon-heir');
    const isReplaced = () => getView(other!, replacement.id) && !getView(other!, gone!.id);
    expect(cluster.runUntil(() => Boolean(isReplaced()), 30_000)).toBe(true);
  });

  it('learns from the peers it calls that it was declared dead', () => {
    // Guards against a daemon that reconnects staying dead for the others although it calls them:
    // the rumours of its death have been sent out by then, nobody probes dead members, and only
    // the peers it calls can tell it that it has to refute.
    const cluster = createCluster({ zones: NINE_DAEMONS, options: { syncInterval: 10_000_000 } });
    const [away, other] = cluster.daemons;
    cluster.isolate(away!);
    cluster.run(120_000);
    expect(getView(other!, away!.id)).toBeUndefined();
    cluster.heal();
    const isBack = () => cluster.daemons.every((daemon) => getView(daemon, away!.id));
    expect(cluster.runUntil(isBack, 15_000)).toBe(true);
  });

  it('suspects nobody when only the path between two daemons is broken', () => {
    // Guards against a healthy daemon being suspected again and again because one other daemon fails
    // to reach it, while all other paths work.
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const pairs = cluster.daemons.map(({ id }, index) => [
      id,
      cluster.daemons[(index + 1) % 9]!.id,
    ]);
    cluster.faults.canPass = (from, to) =>
      !pairs.some((pair) => pair.includes(from) && pair.includes(to));
    cluster.run(120_000);
    expect(
      cluster.daemons.flatMap((daemon) => getMembersOfEvents(daemon, 'member-suspected')),
    ).toEqual([]);
    expect(cluster.daemons.some(({ host }) => host.core.counters.probeFailures > 0)).toBe(true);
  });

  it('accepts a restarted process although the clock of the previous one was ahead', () => {
    // Guards against a restarted daemon staying invisible for as long as the clocks differ: it
    // starts on a machine whose clock is an hour behind, so its incarnation is lower than the one
    // that peers hold as dead.
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const [old] = cluster.daemons;
    cluster.crash(old!);
    cluster.run(20_000);
    cluster.restart(old!, -3_600_000);
    const isBack = () => cluster.daemons.every((daemon) => getView(daemon, old!.id));
    expect(cluster.runUntil(isBack, 30_000)).toBe(true);
  });

  it('does not revive a dead member for a delayed record, and evicts its tombstone in the end', () => {
    // Guards against a dead daemon coming back into the view again and again: if its tombstone were
    // evicted at once, a delayed record from before its death would look new.
    const cluster = createCluster({
      zones: { 'fi/a': 6 },
      options: { tombstoneRetention: 100_000 },
    });
    const [crashed, other] = cluster.daemons;
    const { stateSince, ...member } = getView(other!, crashed!.id)!;
    const record = { ...member, refutation: 0 };
    cluster.crash(crashed!);
    cluster.run(30_000);
    const rumours = [{ kind: 'member' as const, record }];
    other!.host.receive('late', { kind: 'gossip', generation: 0, rumours }, () => {});
    expect(getView(other!, crashed!.id)).toBeUndefined();
    cluster.run(120_000);
    other!.host.receive('late', { kind: 'gossip', generation: 0, rumours }, () => {});
    expect(getView(other!, crashed!.id)).toBeDefined();
  });

  it('gives no duties to a flapping member', () => {
    // Guards against duties moving back and forth with one daemon, each time at a cost to all: it
    // crashes and restarts four times, and would be eligible again after each restart.
    const cluster = createCluster({ zones: NINE_DAEMONS });
    const [, other] = cluster.daemons;
    let [flapping] = cluster.daemons;
    for (let crash = 0; crash < 4; crash += 1) {
      cluster.crash(flapping!);
      cluster.run(1000);
      flapping = cluster.restart(flapping!);
      cluster.run(5000);
    }
    expect(getView(other!, flapping!.id)).toMatchObject({
      state: MemberState.Alive,
      isDamped: true,
      isEligible: false,
    });
    const isEligibleAgain = () => getView(other!, flapping!.id)?.isEligible === true;
    expect(cluster.runUntil(isEligibleAgain, 120_000)).toBe(true);
  });
});
