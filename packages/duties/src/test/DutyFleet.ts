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

export const DELAY: Milliseconds = 10_000;

/** How often a daemon tells those that stand by of its counts. */
const TELL_PERIOD: Milliseconds = 200;

interface Daemon {
  clock: PausableClock;
  manager: DutyManager;
  counter: UsageCounter;
  isRunning: boolean;
  isCutOff: boolean;
}

/** Daemons with duties before one store and one platform, with the truth of what they ran. */
export class DutyFleet {
  readonly clock = new ManualClock(1_700_000_000_000);

  readonly platform: FakePlatform;

  readonly objects = new ObjectStore(this.clock);

  /** What replicas began to run, by window and workspace. */
  readonly truth = new Map<number, Record<string, number>>();

  isStoreDown = false;

  lostAnswers = 0;

  services: ScalableService[] = [];

  private readonly random: Random;

  private readonly daemons: Daemon[];

  private lives = 0;

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

  /** Ends a daemon without warning; what it has not told is lost. */
  kill(index: number): void {
    const daemon = this.daemons[index]!;
    daemon.manager.dispose();
    daemon.isRunning = false;
  }

  restart(index: number): void {
    this.kill(index);
    this.daemons[index] = this.createDaemon(index);
  }

  /** A daemon that the store and the platform do not answer. */
  setCutOff(index: number, isCutOff: boolean): void {
    this.daemons[index]!.isCutOff = isCutOff;
  }

  freeze(index: number): void {
    this.daemons[index]!.clock.pause();
  }

  wake(index: number): void {
    this.daemons[index]!.clock.resume();
  }

  /** Lets time pass, with requests at all daemons that run. */
  async run(span: Milliseconds, isQuiet = false): Promise<void> {
    const end = this.clock.now() + span;
    while (this.clock.now() < end) {
      if (!isQuiet) {
        this.daemons.filter(({ isRunning }) => isRunning).forEach((daemon) => this.serve(daemon));
      }
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(this.clock, TELL_PERIOD);
    }
  }

  dispose(): void {
    this.daemons.forEach(({ manager }) => manager.dispose());
  }

  private serve(daemon: Daemon): void {
    const now = this.clock.now();
    const workspace = `shop-${this.random.integer(4)}`;
    daemon.counter.count(workspace, now);
    const window = getWindow(now, WINDOW);
    const counts = this.truth.get(window) ?? {};
    this.truth.set(window, counts);
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    daemon.counter
      .takeChanged()
      .forEach((share) =>
        this.daemons
          .filter(({ isRunning }) => isRunning)
          .forEach(({ clock, manager }) => clock.run(() => manager.usage.merge(share))),
      );
  }

  private createDaemon(index: number): Daemon {
    this.lives += 1;
    const clock = new PausableClock(this.clock);
    const counter = new UsageCounter({ source: `${index}/${this.lives}`, windowSpan: WINDOW });
    const daemon: Daemon = {
      clock,
      counter,
      isRunning: true,
      isCutOff: false,
      manager: undefined as unknown as DutyManager,
    };
    daemon.manager = new DutyManager({
      self: `daemon-${index}`,
      clock,
      getFleetTime: () => clock.now(),
      getTimeOfDay: () => clock.now(),
      store: this.createStore(daemon),
      platform: this.createLink(daemon),
      settings: { windowSpan: WINDOW, usageDelay: DELAY, holderRest: 3_000 },
      getRank: () => index,
      getServices: () => this.services,
      log: () => undefined,
    });
    return daemon;
  }

  private createStore(daemon: Daemon): LeaseStore {
    const answer = async <Value>(effect: () => Value): Promise<Value> => {
      if (this.isStoreDown || daemon.isCutOff) {
        throw new Error('no answer');
      }
      return effect();
    };
    return {
      get: (key) => answer(() => this.objects.get(key)),
      put: (key, value, expected) =>
        answer(() => {
          const outcome = this.objects.put(key, value, expected);
          if (outcome.kind === 'accepted' && this.lostAnswers > 0) {
            this.lostAnswers -= 1;
            throw new Error('the answer is lost');
          }
          return outcome;
        }),
    };
  }

  /** A daemon that is cut off reaches neither the store nor the platform. */
  private createLink(daemon: Daemon): FakePlatform {
    const { platform } = this;
    return new Proxy(platform, {
      get: (target, name, receiver) => {
        if (daemon.isCutOff && (name === 'reportUsage' || name === 'orderReplicas')) {
          return () => Promise.reject(new Error('no answer'));
        }
        return Reflect.get(target, name, receiver) as unknown;
      },
    });
  }
}
