import type { Milliseconds } from '@apricotrill/utils';
import type { Member } from '../lib/Member.js';
import { MemberState } from '../lib/Member.js';
import type { NetworkFaults, TestDaemon } from './TestCluster.js';
import { getView, TestCluster } from './TestCluster.js';

const ZONES = { 'north/a': 3, 'north/b': 3, 'north/c': 3, 'south/d': 2, 'south/e': 2 };

/** How long a zone with a daemon that runs may be without a watcher. */
const WATCHER_GAP: Milliseconds = 30_000;

const STEP: Milliseconds = 1000;

function check(holds: boolean, getMessage: () => string): void {
  if (!holds) {
    throw new Error(getMessage());
  }
}

/** A cluster under the fuzz, and the oracle that watches it. */
export class ClusterWorld {
  readonly cluster: TestCluster;

  private readonly crashed: TestDaemon[] = [];

  private readonly isolated = new Map<string, string[]>();

  private readonly cutZones = new Set<string>();

  private areRegionsCut = false;

  /** Members that a daemon has seen leaving, by daemon, id and incarnation. */
  private readonly seenLeaving = new Set<string>();

  private readonly watchedAt = new Map<string, Milliseconds>();

  constructor(seed: number) {
    this.cluster = new TestCluster({ zones: ZONES, seed });
    this.cluster.faults.canPass = (from, to) => this.canPass(from, to);
    this.cluster.accept();
    this.run(10_000);
  }

  pick(which: number): TestDaemon {
    const { daemons } = this.cluster;
    return daemons[which % daemons.length]!;
  }

  /** Runs in small steps, so that the oracle sees what lies between. */
  run(span: Milliseconds): void {
    for (let left = span; left > 0; left -= STEP) {
      this.cluster.run(Math.min(left, STEP));
      this.check();
    }
  }

  crash(which: number): void {
    const daemon = this.pick(which);
    if (this.cluster.daemons.length > 2) {
      this.cluster.crash(daemon);
      this.crashed.push(daemon);
    }
  }

  restart(which: number): void {
    const [daemon] = this.crashed.splice(which % Math.max(1, this.crashed.length), 1);
    if (daemon !== undefined) {
      this.cluster.restart(daemon);
    }
  }

  isolate(which: number): void {
    const daemon = this.pick(which);
    this.isolated.set(daemon.id, []);
    this.cluster.run(3 * this.cluster.faults.maxDelay);
    const view = daemon.host.core.getMembers().filter(({ state }) => state === MemberState.Alive);
    this.isolated.set(
      daemon.id,
      view.map(({ id }) => id),
    );
  }

  cutZone(which: number): void {
    this.cutZones.add(this.pick(which).host.self.availabilityZone);
  }

  cutRegions(): void {
    this.areRegionsCut = true;
  }

  healNetwork(): void {
    this.isolated.clear();
    this.cutZones.clear();
    this.areRegionsCut = false;
  }

  disturb(faults: Partial<NetworkFaults>): void {
    Object.assign(this.cluster.faults, faults);
  }

  leave(which: number): void {
    this.pick(which).host.core.handle({ kind: 'announce-leaving' });
  }

  tellReplica(which: number): void {
    const replica = `replica-${which}`;
    this.pick(which).host.core.handle({ kind: 'tell-replica-leaving', replica });
  }

  /** Ends every fault and gives the cluster time to come together. */
  settle(): void {
    const { cluster } = this;
    this.healNetwork();
    Object.assign(cluster.faults, { lossShare: 0, duplicateShare: 0, maxDelay: 5 });
    cluster.daemons.forEach(({ clock }) => clock.thaw());
    this.crashed.splice(0).forEach((daemon) => cluster.restart(daemon));
    cluster.setPlatform({ isDown: false, hasSilentWatches: false, latency: 3 });
    this.run(120_000);
  }

  /** What must hold at any moment. */
  check(): void {
    this.cluster.history.forEach((daemon) => this.checkGenerations(daemon));
    this.cluster.daemons.forEach((daemon) => {
      const members = daemon.host.core.getMembers();
      this.checkLeaving(daemon, members);
      this.checkIsolated(daemon, members);
    });
    this.checkWatchers();
  }

  /** What must hold once everything is healed. */
  checkSettled(): void {
    const { daemons, generation } = this.cluster;
    const ids = daemons.map(({ id }) => id).sort();
    daemons.forEach(({ id, host }) => {
      const members = host.core.getMembers();
      const seen = members.map((member) => member.id).sort();
      expect({ id, seen }).toEqual({ id, seen: ids });
      expect({ id, generation: host.core.generation }).toEqual({ id, generation });
      const wrong = members.filter(({ state }) => state === MemberState.Suspect);
      expect({ id, wrong, isCutOff: host.core.isCutOff }).toEqual({
        id,
        wrong: [],
        isCutOff: false,
      });
      expect(members.every(({ isReachable }) => isReachable)).toBe(true);
    });
    this.checkSettledLeaving();
    Object.keys(ZONES).forEach((zone) => this.checkSettledWatchers(zone.split('/')[1]!));
  }

  private checkSettledLeaving(): void {
    this.cluster.daemons.forEach((daemon) => {
      const [self] = daemon.host.core.getMembers();
      const states = this.cluster.daemons.map((other) => getView(other, daemon.id));
      expect(states.map((view) => view?.state)).toEqual(states.map(() => self!.state));
    });
  }

  private checkSettledWatchers(zone: string): void {
    const inZone = this.cluster.daemons.filter(({ host }) => host.self.availabilityZone === zone);
    const able = inZone.filter(
      ({ host }) => host.core.getMembers()[0]!.state === MemberState.Alive,
    );
    const watching = inZone.filter(({ host }) => host.core.isWatching).length;
    expect(watching).toBeGreaterThanOrEqual(Math.min(1, inZone.length));
    expect(watching).toBeLessThanOrEqual(able.length === 0 ? inZone.length : 2);
  }

  private checkGenerations({ id, generations, host }: TestDaemon): void {
    const isRising = generations.every((next, at) => at === 0 || next > generations[at - 1]!);
    check(isRising, () => `${id} went back: ${generations.join(' ')}`);
    const isAccepted = host.core.generation <= this.cluster.generation;
    check(isAccepted, () => `${id} has ${host.core.generation}, which nobody accepted`);
  }

  /** A member that announced that it leaves is never again seen otherwise by who saw it. */
  private checkLeaving(daemon: TestDaemon, members: readonly Member[]): void {
    members.forEach(({ id, incarnation, state }) => {
      const key = `${daemon.id} ${daemon.host.startedAt} ${id} ${incarnation}`;
      if (state === MemberState.Leaving) {
        this.seenLeaving.add(key);
      } else {
        check(!this.seenLeaving.has(key), () => `${key} was leaving and is ${state}`);
      }
    });
  }

  /** A daemon that is cut off loses nobody from its view who is there. */
  private checkIsolated({ id }: TestDaemon, members: readonly Member[]): void {
    const before = this.isolated.get(id) ?? [];
    const seen = new Set(members.map((member) => member.id));
    before
      .filter((other) => this.cluster.get(other) !== undefined)
      .forEach((other) => check(seen.has(other), () => `${id}, cut off, lost ${other}`));
  }

  private checkWatchers(): void {
    const now = this.cluster.clock.now();
    Object.keys(ZONES).forEach((zone) => {
      const name = zone.split('/')[1]!;
      const awake = this.cluster.daemons.filter(
        ({ host, clock }) => host.self.availabilityZone === name && !clock.isFrozen,
      );
      if (awake.length === 0 || awake.some(({ host }) => host.core.isWatching)) {
        this.watchedAt.set(name, now);
      }
      const gap = now - (this.watchedAt.get(name) ?? now);
      check(gap <= WATCHER_GAP, () => `zone ${name} has no watcher for ${gap} ms`);
    });
  }

  private canPass(from: string, to: string): boolean {
    const ends = [from, to].map((id) => this.cluster.daemons.find((daemon) => daemon.id === id));
    const [left, right] = ends.map((daemon) => daemon?.host.self);
    if (left === undefined || right === undefined || left.id === right.id) {
      return true;
    }
    const zones = [left.availabilityZone, right.availabilityZone];
    const isZoneCut = zones[0] !== zones[1] && zones.some((zone) => this.cutZones.has(zone));
    const isRegionCut = this.areRegionsCut && left.region !== right.region;
    return !isZoneCut && !isRegionCut && !this.isolated.has(from) && !this.isolated.has(to);
  }
}
