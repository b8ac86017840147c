import { getDecided, getView, TestCluster } from '../../test/TestCluster.js';
import type { Member } from '../Member.js';
import { MemberState } from '../Member.js';

const NINE = { 'fi/a': 3, 'fi/b': 3, 'fi/c': 3 };

const clusters: TestCluster[] = [];

function createCluster(settings: ConstructorParameters<typeof TestCluster>[0]) {
  const cluster = new TestCluster(settings);
  clusters.push(cluster);
  cluster.run(20_000);
  return cluster;
}

afterEach(() => clusters.splice(0).forEach((cluster) => cluster.dispose()));

describe('Membership', () => {
  it('takes a crashed daemon for dead, everywhere, and its next process for alive', () => {
    const cluster = createCluster({ zones: NINE });
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

  it('keeps the view of a daemon whose own network is broken, and takes it back after', () => {
    // Symptom: one daemon's broken network empties its view, and it acts as if it were alone.
    // Sequence: a daemon looks for one that crashed, so it has tried everybody lately; then its
    // network breaks; one probe after the other fails.
    // Cause: silence is taken for the peers' fault whoever's fault it is.
    const cluster = createCluster({ zones: { 'fi/a': 20 } });
    const [cutOff, crashed] = cluster.daemons;
    cluster.crash(crashed!);
    cluster.run(6000);
    cluster.isolate(cutOff!);
    cutOff!.decisions.length = 0;
    cluster.run(300_000);
    expect(getDecided(cutOff!, 'member-suspected')).toEqual([]);
    expect(getDecided(cutOff!, 'member-dead')).toEqual([crashed!.id]);
    expect(cutOff!.host.core.isCutOff).toBe(true);
    expect(cutOff!.host.core.getMembers()).toHaveLength(19);
    expect(getView(cluster.daemons[1]!, cutOff!.id)).toBeUndefined();
    cluster.heal();
    const isWhole = () =>
      !cutOff!.host.core.isCutOff &&
      cluster.daemons.every((daemon) => daemon.host.core.getMembers().length === 19);
    expect(cluster.runUntil(isWhole, 30_000)).toBe(true);
  });

  it('suspects nobody before it has seen that its own network works', () => {
    // Symptom: a daemon that is cut off suspects healthy peers, and says so once it is back.
    // Sequence: it has tried many peers lately, who answered; its network breaks; the first probe
    // fails, and those through other peers.
    // Cause: most of the peers it has tried did answer, so it takes its network to be sound.
    const cluster = createCluster({ zones: { 'fi/a': 20 } });
    const [cutOff] = cluster.daemons;
    const { counters } = cutOff!.host.core;
    // The path to one neighbour is broken, so that the daemon tries more peers than its neighbours.
    cluster.getOthers(cutOff!).some((far) => {
      const ends = [cutOff!.id, far.id];
      cluster.faults.canPass = (from, to) => !(ends.includes(from) && ends.includes(to));
      return cluster.runUntil(() => counters.probeFailures > 0, 6000);
    });
    cluster.run(15_000);
    cluster.isolate(cutOff!);
    cluster.run(60_000);
    expect(getDecided(cutOff!, 'member-suspected')).toEqual([]);
  });

  it('holds a suspicion while the refutation cannot arrive', () => {
    // Symptom: a daemon that is cut off loses healthy members that were suspected just before.
    // Sequence: a daemon stops for a moment and is suspected; a second one is cut off; the first
    // goes on and refutes, which the second cannot hear; the suspicion's time runs out there.
    // Cause: the time to refute goes on while no refutation can come.
    const cluster = createCluster({ zones: NINE });
    const [cutOff, paused] = cluster.daemons;
    paused!.clock.freeze();
    const isSuspected = () => getView(cutOff!, paused!.id)?.state === MemberState.Suspect;
    expect(cluster.runUntil(isSuspected, 10_000)).toBe(true);
    cluster.isolate(cutOff!);
    paused!.clock.thaw();
    cluster.run(120_000);
    expect(getView(cutOff!, paused!.id)?.state).toBe(MemberState.Suspect);
    expect(getDecided(cutOff!, 'member-dead')).toEqual([]);
  });

  it('declares nobody dead for the time it slept itself', () => {
    // Symptom: a daemon that was stopped for a while declares a healthy one dead as it goes on.
    // Sequence: a member is suspected; the daemon is stopped; the member refutes; the daemon goes
    // on, and the timer of the suspicion runs before the refutation is read.
    // Cause: timers count the time in which the process could not hear anything.
    const cluster = createCluster({ zones: NINE });
    const [sleeper, paused] = cluster.daemons;
    paused!.clock.freeze();
    const isSuspected = () => getView(sleeper!, paused!.id)?.state === MemberState.Suspect;
    expect(cluster.runUntil(isSuspected, 10_000)).toBe(true);
    sleeper!.clock.freeze();
    paused!.clock.thaw();
    cluster.run(60_000);
    sleeper!.clock.thaw();
    cluster.run(30_000);
    expect(getDecided(sleeper!, 'pause-noticed')).toHaveLength(1);
    expect(getDecided(sleeper!, 'member-dead')).toEqual([]);
    expect(getView(sleeper!, paused!.id)?.state).toBe(MemberState.Alive);
  });

  it('notices its own sleep also when a suspicion’s timer is the first to run', () => {
    // As above, with little of the time to refute left as the process stops.
    const options = { gossipBytesPerSecond: 0, syncInterval: 10_000_000 };
    const cluster = new TestCluster({ zones: { 'fi/a': 1 }, options });
    clusters.push(cluster);
    const [sleeper] = cluster.daemons;
    const [{ stateSince, ...self }] = sleeper!.host.core.getMembers() as [Member];
    const record = { ...self, id: 'daemon-x', state: MemberState.Suspect, refutation: 0 };
    const rumours = [{ kind: 'member' as const, record }];
    sleeper!.host.receive('peer', { kind: 'gossip', generation: 0, rumours }, () => {});
    cluster.run(4950);
    sleeper!.clock.freeze();
    cluster.run(60_000);
    sleeper!.clock.thaw();
    expect(getDecided(sleeper!, 'pause-noticed')).toHaveLength(1);
    expect(getDecided(sleeper!, 'member-dead')).toEqual([]);
  });

  it('does not forget that a member is leaving when it refutes its death', () => {
    // Symptom: a daemon that is shutting down gets new duties.
    // Sequence: it announces that it leaves; it is cut off and taken for dead; it comes back and
    // contradicts its death.
    // Cause: the refutation says alive where it has to say leaving.
    const cluster = createCluster({ zones: NINE });
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

  it('notices a crash although another daemon answers at the address by now', () => {
    // Symptom: a daemon that was replaced stays in the view, for good.
    // Sequence: its process ends; a daemon of another id starts at the same address.
    // Cause: whoever answers at the address is taken for the one who was there.
    const cluster = createCluster({ zones: NINE, listLag: 10_000_000 });
    const [gone, other] = cluster.daemons;
    cluster.crash(gone!);
    const heir = cluster.restart(gone!, 0, 'daemon-heir');
    const isReplaced = () => getView(other!, heir.id) && !getView(other!, gone!.id);
    expect(cluster.runUntil(() => Boolean(isReplaced()), 30_000)).toBe(true);
  });

  it('is told by whom it talks to that it is taken for dead', () => {
    // Symptom: a daemon that was away stays dead for the others although it talks to them.
    // Sequence: it is cut off and taken for dead; all rumours of it have been told; it comes back.
    // Cause: nobody probes the dead, and nobody tells the daemon what is said of it.
    const cluster = createCluster({ zones: NINE, options: { syncInterval: 10_000_000 } });
    const [away, other] = cluster.daemons;
    cluster.isolate(away!);
    cluster.run(120_000);
    expect(getView(other!, away!.id)).toBeUndefined();
    cluster.heal();
    const isBack = () => cluster.daemons.every((daemon) => getView(daemon, away!.id));
    expect(cluster.runUntil(isBack, 15_000)).toBe(true);
  });

  it('suspects nobody when only the path between two daemons is broken', () => {
    // Symptom: a healthy daemon is suspected again and again.
    // Sequence: the path between two daemons breaks; all other paths work.
    // Cause: one daemon's failure to reach another is taken for the other's death.
    const cluster = createCluster({ zones: NINE });
    const pairs = cluster.daemons.map(({ id }, index) => [
      id,
      cluster.daemons[(index + 1) % 9]!.id,
    ]);
    cluster.faults.canPass = (from, to) =>
      !pairs.some((pair) => pair.includes(from) && pair.includes(to));
    cluster.run(120_000);
    expect(cluster.daemons.flatMap((daemon) => getDecided(daemon, 'member-suspected'))).toEqual([]);
    expect(cluster.daemons.some(({ host }) => host.core.counters.probeFailures > 0)).toBe(true);
  });

  it('takes a process for the newest although the clock before it ran ahead', () => {
    // Symptom: a restarted daemon is invisible, for as long as the clocks differ.
    // Sequence: a daemon's process ends; the next one of that id starts on a machine whose clock is
    // an hour behind.
    // Cause: its incarnation is lower than the one everybody holds for dead.
    const cluster = createCluster({ zones: NINE });
    const [old] = cluster.daemons;
    cluster.crash(old!);
    cluster.run(20_000);
    cluster.restart(old!, -3_600_000);
    const isBack = () => cluster.daemons.every((daemon) => getView(daemon, old!.id));
    expect(cluster.runUntil(isBack, 30_000)).toBe(true);
  });

  it('is not brought back by a late word from before the death, and forgets it in the end', () => {
    // Symptom: a dead daemon is back in the view, again and again.
    // Sequence: a daemon crashes; its death is known; a record from before arrives late.
    // Cause: who is taken for dead is forgotten at once, and the record looks new.
    const cluster = createCluster({ zones: { 'fi/a': 6 }, options: { tombstoneSpan: 100_000 } });
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

  it('gives no duties to a member that comes and goes', () => {
    // Symptom: duties move back and forth with one daemon, and each move costs everybody.
    // Sequence: a daemon crashes and starts again, four times.
    // Cause: it is trusted anew each time.
    const cluster = createCluster({ zones: NINE });
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
    const isTrusted = () => getView(other!, flapping!.id)?.isEligible === true;
    expect(cluster.runUntil(isTrusted, 120_000)).toBe(true);
  });
});
