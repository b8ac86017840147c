import type { Replica } from '@apricotrill/model';
import type { ManualClock, Milliseconds, Random } from '@apricotrill/utils';
import { defaultPolicyOptions } from '../lib/policyOptions.js';
import { ReplicaChooser } from '../lib/ReplicaChooser/ReplicaChooser.js';
import { ReplicaPool } from '../lib/ReplicaChooser/ReplicaPool.js';
import { ReplicaState } from '../lib/ReplicaChooser/ReplicaState.js';
import { Reserve } from '../lib/Reserve/Reserve.js';
import { SharedLimit } from '../lib/SharedLimit/SharedLimit.js';
import type { FakeReplica } from './FakeReplica.js';

/** How a chooser goes by the reports. */
export type Way = 'shortest-reported' | 'two-reported' | 'two-corrected' | 'two-damped' | 'policy';

const TIER = 2;

const NO_LIMIT = 1e6;

function createReplica(index: number, slots: number): Replica {
  return {
    id: `replica-${index}`,
    service: 'kielimalli',
    availabilityZone: 'espoo',
    host: '127.0.0.1',
    port: 9000,
    slots,
    checksFencing: true,
    placement: [],
  };
}

/** What stands for a daemon: a chooser, its view of the replicas, and a line of its own. */
export class StaleChooser {
  private readonly states: ReplicaState[];

  private readonly pool = new ReplicaPool(undefined, defaultPolicyOptions.preemptingTier);

  private readonly chooser: ReplicaChooser;

  private readonly reported: number[];

  private readonly line: Milliseconds[] = [];

  constructor(
    private readonly parts: {
      index: number;
      daemons: number;
      slots: number;
      way: Way;
      clock: ManualClock;
      random: Random;
      replicas: FakeReplica[];
    },
  ) {
    const { way, random, replicas, clock } = parts;
    const stampedeDamping = way === 'two-corrected' ? 0 : defaultPolicyOptions.stampedeDamping;
    this.chooser = new ReplicaChooser(random, { ...defaultPolicyOptions, stampedeDamping });
    this.states = this.createStates(stampedeDamping);
    this.reported = replicas.map(() => 0);
    this.pool.setReplicas(this.states, clock.now());
  }

  /** Takes a report, the same as every other chooser. */
  hear(index: number, load: number, measuredAt: Milliseconds): void {
    const { clock, way, random } = this.parts;
    const state = this.states[index]!;
    this.reported[index] = load;
    const report = { replica: state.id, running: load, waiting: 0, measuredAt };
    if (way === 'policy') {
      state.report(report, clock.now(), random);
    } else {
      state.load.apply(report, clock.now());
    }
    this.pool.refresh(state, clock.now());
    this.pump();
  }

  submit(): void {
    this.line.push(this.parts.clock.now());
    this.pump();
  }

  /** All but the policy itself go without limits: the choice alone is compared. */
  private createStates(stampedeDamping: number): ReplicaState[] {
    const { index, daemons, slots, way, replicas } = this.parts;
    const options = { ...defaultPolicyOptions, stampedeDamping };
    const limit = new SharedLimit(options.subsetSize);
    const names = Array.from({ length: daemons }, (_, each) => `daemon-${each}`);
    limit.setDaemons(`daemon-${index}`, names);
    const plan = new Reserve(options).getPlan(slots);
    return replicas.map((_, each) => {
      const state = new ReplicaState(createReplica(each, slots), options);
      const share = limit.getShare(state.id, plan.shared, replicas.length);
      state.setShare(way === 'policy' ? share : { ...share, slots: NO_LIMIT }, plan);
      return state;
    });
  }

  private pump(): void {
    while (this.line.length > 0) {
      const index = this.choose();
      if (index === undefined) {
        return;
      }
      this.send(index, this.line.shift()!);
    }
  }

  private send(index: number, arrived: Milliseconds): void {
    const state = this.states[index]!;
    this.note(state, 1);
    this.parts.replicas[index]!.submit(arrived, () => {
      this.note(state, -1);
      this.pump();
    });
  }

  private note(state: ReplicaState, change: 1 | -1): void {
    const now = this.parts.clock.now();
    state.note(now, TIER, change);
    this.pool.note(change, now);
    this.pool.refresh(state, now);
  }

  private choose(): number | undefined {
    const { way, random, clock } = this.parts;
    const count = this.states.length;
    const first = random.integer(count);
    if (way === 'shortest-reported') {
      const order = this.reported.map((_, index) => (first + index) % count);
      return order.reduce((best, next) =>
        this.reported[next]! < this.reported[best]! ? next : best,
      );
    }
    if (way === 'two-reported') {
      const second = random.integer(count);
      return this.reported[second]! < this.reported[first]! ? second : first;
    }
    const failed = new Set<string>();
    const wish = { affinityKey: undefined, failed, mayProbe: false, tier: TIER, isUrgent: false };
    const choice = this.chooser.choose(this.pool, wish, clock.now());
    return choice && this.states.indexOf(choice.state);
  }
}
