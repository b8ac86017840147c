import type { LeaseStore } from '@apricotrill/lease';
import { PausableClock, advanceClock } from '@apricotrill/standins';
import { ObjectStore } from '@apricotrill/store';
import { ManualClock, createRandom } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { DutyManager } from '../lib/DutyManager/DutyManager.js';
import type { ScalableService } from '../lib/scaling/ScalingDuty/ScalingDuty.js';
import { UsageCounter } from '../lib/usage/UsageCounter/UsageCounter.js';
import { getWindow } from '../lib/usage/SourceUsage.js';
import { FakePlatform } from './FakePlatform.js';

export const WINDOW: Milliseconds = 5_000;

export const REPORT_DEADLINE: Milliseconds = 10_000;

/** Interval at which a daemon sends its counts to the lease candidates. */
const UPDATE_INTERVAL: Milliseconds = 200;

interface Daemon {
  clock: PausableClock;
  manager: DutyManager;
  counter: UsageCounter;
  isRunning: boolean;
  isPartitioned: boolean;
}

/**
 * Simulates daemons that share one store and one platform, and records the requests that each of
 * them really ran.
 */
export class DutyFleet {
  readonly clock = new ManualClock(1_700_000_000_000);

  readonly platform: FakePlatform;

  readonly objects = new ObjectStore(this.clock);

  /** Requests that replicas started, by window and workspace. */
  readonly actualCounts = new Map<number, Record<string, number>>();

  isStoreDown = false;

  lostResponses = 0;

  services: ScalableService[] = [];

  private readonly random: Random;

  private readonly daemons: Daemon[];

  private incarnations = 0;

  constructor(size: number, seed: number) {
    this.random = createRandom(seed);
    this.platform = new FakePlatform(this.clock, this.random);
    this.daemons = Array.from({ length: size }, (_, index) => this.createDaemon(index));
  }

  get size(): number {
    return this.daemons.length;
  }

  get holder(): number {
    return this.daemons.findIndex(({ isRunning, manager }) => isRunning && manager.status.isHolder);
  }

  /** Kills a daemon without warning; counts that it has not sent yet are lost. */
  kill(index: number): void {
    const daemon = this.daemons[index]!;
    daemon.manager.dispose();
    daemon.isRunning = false;
  }

  restart(index: number): void {
    this.kill(index);
    this.daemons[index] = this.createDaemon(index);
  }

  /** Deletes the ledger of usage, as if the store came back from a copy from before it. */
  loseLedger(): void {
    this.objects.list('usage/').forEach(({ key, version }) => this.objects.delete(key, version));
  }

  /** Cuts a daemon off from the store and the platform, or reconnects it. */
  setPartitioned(index: number, isPartitioned: boolean): void {
    this.daemons[index]!.isPartitioned = isPartitioned;
  }

  pause(index: number): void {
    this.daemons[index]!.clock.pause();
  }

  resume(index: number): void {
    this.daemons[index]!.clock.resume();
  }

  /** Advances time; unless idle, every running daemon keeps serving requests. */
  async run(duration: Milliseconds, isIdle = false): Promise<void> {
    const end = this.clock.now() + duration;
    while (this.clock.now() < end) {
      if (!isIdle) {
        this.daemons
          .filter(({ isRunning }) => isRunning)
          .forEach((daemon) => this.serveRequest(daemon));
      }
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(this.clock, UPDATE_INTERVAL);
    }
  }

  dispose(): void {
    this.daemons.forEach(({ manager }) => manager.dispose());
  }

  private serveRequest(daemon: Daemon): void {
    const now = this.clock.now();
    const workspace = `shop-${this.random.integer(4)}`;
    daemon.counter.count(workspace, now);
    const window = getWindow(now, WINDOW);
    const counts = this.actualCounts.get(window) ?? {};
    this.actualCounts.set(window, counts);
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    daemon.counter
      .takeChanged()
      .forEach((usage) =>
        this.daemons
          .filter(({ isRunning }) => isRunning)
          .forEach(({ clock, manager }) => clock.run(() => manager.usage.merge(usage))),
      );
  }

  private createDaemon(index: number): Daemon {
    this.incarnations += 1;
    const clock = new PausableClock(this.clock);
    const counter = new UsageCounter({
      source: `${index}/${this.incarnations}`,
      windowSpan: WINDOW,
    });
    const daemon: Daemon = {
      clock,
      counter,
      isRunning: true,
      isPartitioned: false,
      manager: undefined as unknown as DutyManager,
    };
    daemon.manager = new DutyManager({
      self: `daemon-${index}`,
      clock,
      getFleetTime: () => clock.now(),
      getTimeOfDay: () => clock.now(),
      store: this.createStore(daemon),
      platform: this.createPlatform(daemon),
      settings: { windowSpan: WINDOW, usageDelay: REPORT_DEADLINE, holderCooldown: 3_000 },
      getRank: () => index,
      getServices: () => this.services,
      log: () => undefined,
    });
    return daemon;
  }

  private createStore(daemon: Daemon): LeaseStore {
    const respond = async <Value>(effect: () => Value): Promise<Value> => {
      if (this.isStoreDown || daemon.isPartitioned) {
        throw new Error('no response');
      }
      return effect();
    };
    return {
      get: (key) => respond(() => this.objects.get(key)),
      put: (key, value, expected) =>
        respond(() => {
          const result = this.objects.put(key, value, expected);
          if (result.kind === 'accepted' && this.lostResponses > 0) {
            this.lostResponses -= 1;
            throw new Error('response lost');
          }
          return result;
        }),
    };
  }

  /** The platform as this daemon sees it: calls fail while the daemon is partitioned. */
  private createPlatform(daemon: Daemon): FakePlatform {
    const { platform } = this;
    return new Proxy(platform, {
      get: (target, name, receiver) => {
        if (daemon.isPartitioned && (name === 'reportUsage' || name === 'orderReplicas')) {
          return () => Promise.reject(new Error('no response'));
        }
        return Reflect.get(target, name, receiver) as unknown;
      },
    });
  }
}
