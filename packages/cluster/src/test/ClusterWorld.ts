import type { Milliseconds } from '@apricotrill/utils';
import type { Member } from '../lib/Member.js';
import { MemberState } from '../lib/Member.js';
import type { NetworkFaults, TestDaemon } from './TestCluster.js';
import { getView, TestCluster } from './TestCluster.js';

const ZONES = { 'north/a': 3, 'north/b': 3, 'north/c': 3, 'south/d': 2, 'south/e': 2 };

/** How long a zone with a running daemon may be without a watcher. */
const MAX_WATCHER_GAP: Milliseconds = 30_000;

const CHECK_INTERVAL: Milliseconds = 1000;

function assertInvariant(holds: boolean, getMessage: () => string): void {
  if (!holds) {
    throw new Error(getMessage());
  }
}

/** A cluster under fuzz testing, with an oracle that checks its invariants. */
export class ClusterWorld {
  readonly cluster: TestCluster;

  private readonly crashed: TestDaemon[] = [];

  private readonly viewsAtIsolation = new Map<string, string[]>();

  private readonly isolatedZones = new Set<string>();

  private areRegionsPartitioned = false;

  /** Members that a daemon has seen leaving, keyed by daemon, member id and incarnation. */
  private readonly membersSeenLeaving = new Set<string>();

  private readonly watchedAt = new Map<string, Milliseconds>();

  constructor(seed: number) {
    this.cluster = new TestCluster({ zones: ZONES, seed });
    this.cluster.faults.canPass = (from, to) => this.canPass(from, to);
    this.cluster.acceptChange();
    this.run(10_000);
  }

  getDaemon(index: number): TestDaemon {
    const { daemons } = this.cluster;
    return daemons[index % daemons.length]!;
  }

  /** Runs in small steps, checking the invariants after each. */
  run(duration: Milliseconds): void {
    for (let remaining = duration; remaining > 0; remaining -= CHECK_INTERVAL) {
      this.cluster.run(Math.min(remaining, CHECK_INTERVAL));
      this.checkInvariants();
    }
  }

  crash(index: number): void {
    const daemon = this.getDaemon(index);
    if (this.cluster.daemons.length > 2) {
      this.cluster.crash(daemon);
      this.crashed.push(daemon);
    }
  }

  restart(index: number): void {
    const [daemon] = this.crashed.splice(index % Math.max(1, this.crashed.length), 1);
    if (daemon !== undefined) {
      this.cluster.restart(daemon);
    }
  }

  isolate(index: number): void {
    const daemon = this.getDaemon(index);
    this.viewsAtIsolation.set(daemon.id, []);
    this.cluster.run(3 * this.cluster.faults.maxDelay);
    const view = daemon.host.core.getMembers().filter(({ state }) => state === MemberState.Alive);
    this.viewsAtIsolation.set(
      daemon.id,
      view.map(({ id }) => id),
    );
  }

  isolateZone(index: number): void {
    this.isolatedZones.add(this.getDaemon(index).host.self.availabilityZone);
  }

  partitionRegions(): void {
    this.areRegionsPartitioned = true;
  }

  healNetwork(): void {
    this.viewsAtIsolation.clear();
    this.isolatedZones.clear();
    this.areRegionsPartitioned = false;
  }

  setFaults(faults: Partial<NetworkFaults>): void {
    Object.assign(this.cluster.faults, faults);
  }

  announceLeaving(index: number): void {
    this.getDaemon(index).host.core.handle({ kind: 'announce-leaving' });
  }

  reportReplicaLeaving(index: number): void {
    const replica = `replica-${index}`;
    this.getDaemon(index).host.core.handle({ kind: 'announce-replica-leaving', replica });
  }

  /** Ends all faults and gives the cluster time to converge. */
  settle(): void {
    const { cluster } = this;
    this.healNetwork();
    Object.assign(cluster.faults, { lossShare: 0, duplicateShare: 0, maxDelay: 5 });
    cluster.daemons.forEach(({ clock }) => clock.thaw());
    this.crashed.splice(0).forEach((daemon) => cluster.restart(daemon));
    cluster.setPlatform({ isDown: false, hasSilentWatches: false, latency: 3 });
    this.run(120_000);
  }

  /** Checks what must hold at any moment. */
  checkInvariants(): void {
    this.cluster.history.forEach((daemon) => this.checkGenerations(daemon));
    this.cluster.daemons.forEach((daemon) => {
      const members = daemon.host.core.getMembers();
      this.checkLeaving(daemon, members);
      this.checkIsolated(daemon, members);
    });
    this.checkWatchers();
  }

  /** Checks what must hold once all faults have ended and the cluster has converged. */
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
    assertInvariant(
      isRising,
      () => `${id} returned to an older generation: ${generations.join(' ')}`,
    );
    const isAccepted = host.core.generation <= this.cluster.generation;
    assertInvariant(
      isAccepted,
      () => `${id} has generation ${host.core.generation}, which was never accepted`,
    );
  }

  /** A daemon that has seen an incarnation leaving never sees it in another running state again. */
  private checkLeaving(daemon: TestDaemon, members: readonly Member[]): void {
    members.forEach(({ id, incarnation, state }) => {
      const key = `${daemon.id} ${daemon.host.startedAt} ${id} ${incarnation}`;
      if (state === MemberState.Leaving) {
        this.membersSeenLeaving.add(key);
      } else {
        assertInvariant(
          !this.membersSeenLeaving.has(key),
          () => `${key} was leaving and is now ${state}`,
        );
      }
    });
  }

  /** An isolated daemon keeps all running daemons in its view. */
  private checkIsolated({ id }: TestDaemon, members: readonly Member[]): void {
    const before = this.viewsAtIsolation.get(id) ?? [];
    const seen = new Set(members.map((member) => member.id));
    before
      .filter((other) => this.cluster.get(other) !== undefined)
      .forEach((other) =>
        assertInvariant(seen.has(other), () => `isolated ${id} lost ${other} from its view`),
      );
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
      assertInvariant(
        gap <= MAX_WATCHER_GAP,
        () => `zone ${name} has had no watcher for ${gap} ms`,
      );
    });
  }

  private canPass(from: string, to: string): boolean {
    const ends = [from, to].map((id) => this.cluster.daemons.find((daemon) => daemon.id === id));
    const [left, right] = ends.map((daemon) => daemon?.host.self);
    if (left === undefined || right === undefined || left.id === right.id) {
      return true;
    }
    const zones = [left.availabilityZone, right.availabilityZone];
    const isZoneCut = zones[0] !== zones[1] && zones.some((zone) => this.isolatedZones.has(zone));
    const isRegionCut = this.areRegionsPartitioned && left.region !== right.region;
    return (
      !isZoneCut &&
      !isRegionCut &&
      !this.viewsAtIsolation.has(from) &&
      !this.viewsAtIsolation.has(to)
    );
  }
}
