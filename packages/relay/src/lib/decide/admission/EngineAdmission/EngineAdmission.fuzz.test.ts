import { ManualClock } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { createReplayApplicant } from '../../../../test/createReplayApplicant.js';
import { createEngineService, createReplica } from '../../../../test/fixtures.js';
import { ReplayEngine } from '../../../../test/ReplayEngine.js';
import { chooseReplica } from '../../chooseReplica.js';
import { placementOptions } from '../../placementOptions.js';
import { EngineStatistics } from '../../PrefillEstimator/EngineStatistics.js';
import { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { admissionOptions } from '../admissionOptions.js';
import type { AdmissionDecision, Applicant } from '../Applicant.js';
import { EngineRoom } from '../EngineRoom/EngineRoom.js';
import { EngineAdmission } from './EngineAdmission.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 100);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_204);

const ENGINES = 3;
const SLOTS = 3;
const TARGETS = [200, 600, 1_500];
const PACE = { tokenTime: 0.025, responseTime: 600 };

/** All requests have ended this long after the last step, also at the slowest engine. */
const SETTLE_TIME = 120_000;

/** Ranks are strict without floors, which have a test of their own. */
const OPTIONS = { ...admissionOptions, floorShare: 0 };

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('submit' as const),
      rank: fc.nat(2),
      target: fc.nat(TARGETS.length - 1),
      /** Short prompts fill slots, long ones the time to prefill. */
      tokens: fc.oneof(fc.integer({ min: 1, max: 400 }), fc.integer({ min: 1, max: 12_000 })),
      count: fc.integer({ min: 1, max: 6 }),
      workspace: fc.constantFrom('a', 'b', 'c'),
      /** Engines that it must not go to, as bits. */
      excluded: fc.nat(6),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('advance' as const),
      span: fc.integer({ min: 1, max: 250 }),
    }),
  },
  fc.record({ do: fc.constant('withdraw' as const), index: fc.nat() }),
  fc.record({ do: fc.constant('switch' as const), engine: fc.nat(ENGINES - 1) }),
  fc.record({
    do: fc.constant('pace' as const),
    engine: fc.nat(ENGINES - 1),
    factor: fc.integer({ min: 1, max: 30 }),
  }),
  fc.record({ do: fc.constant('return' as const), index: fc.nat() }),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

type Submission = Extract<Step, { do: 'submit' }>;

/** What the observer knows about an applicant. */
interface ObservedApplicant {
  applicant: Applicant;
  ending: 'begun' | 'refused' | 'withdrawn' | undefined;
  waits: number;
}

/** Applies steps to an admission, and checks its decisions against a simple model. */
class Observer {
  private readonly clock = new ManualClock();

  private readonly service = createEngineService('llm');

  private readonly lost = new Set<ReplicaState>();

  private readonly engines: ReplayEngine[];

  private readonly admission: EngineAdmission;

  private readonly observed = new Map<string, ObservedApplicant>();

  constructor() {
    this.service.engine!.slots = SLOTS;
    const statistics = new EngineStatistics();
    statistics.profile = this.service.engine;
    this.engines = Array.from({ length: ENGINES }, (_item, index) => {
      const replica = createReplica(`e-${index}`, { service: 'llm', slots: SLOTS });
      const state = new ReplicaState(replica, placementOptions, statistics);
      state.cache.replace([]);
      return new ReplayEngine(state, this.clock, PACE, () => this.admission.review());
    });
    this.admission = new EngineAdmission({
      clock: this.clock,
      options: OPTIONS,
      getEngines: ({ excludedReplicas }) =>
        this.inService.filter(({ replica }) => !excludedReplicas.has(replica.id)),
      getGroupEngines: () => this.inService,
      getProfile: () => this.service.engine,
      choose: ({ criteria }, candidates) =>
        chooseReplica({
          request: criteria,
          service: this.service,
          candidates,
          now: this.clock.now(),
          options: placementOptions,
        }),
      onDecision: (decision) => this.check(decision),
      onFault: (error) => {
        throw error;
      },
    });
  }

  run(steps: readonly Step[]): void {
    steps.forEach((next) => {
      this.act(next);
      this.checkWaits();
    });
    this.clock.advance(SETTLE_TIME);
    this.checkAllDecided();
    this.checkCalm();
  }

  private get inService(): ReplicaState[] {
    return this.engines.map(({ state }) => state).filter((state) => !this.lost.has(state));
  }

  private act(next: Step): void {
    switch (next.do) {
      case 'submit':
        this.submit(next);
        break;
      case 'advance':
        this.clock.advance(next.span);
        break;
      case 'withdraw':
        this.withdraw(next.index);
        break;
      case 'switch': {
        const { state } = this.engines[next.engine]!;
        if (!this.lost.delete(state)) {
          this.lost.add(state);
        }
        this.admission.review();
        break;
      }
      case 'pace':
        this.engines[next.engine]!.pace = { ...PACE, tokenTime: PACE.tokenTime * next.factor };
        break;
      case 'return':
        this.submitAgain(next.index);
        break;
      default:
        next satisfies never;
    }
  }

  private submit({ count, rank, target, tokens, workspace, excluded }: Submission): void {
    const excludedReplicas = new Set(
      // eslint-disable-next-line no-bitwise
      this.engines.map(({ state }) => state.replica.id).filter((_id, bit) => (excluded >> bit) & 1),
    );
    const latencyTarget = TARGETS[target]!;
    const parts = { rank, latencyTarget, tokens, workspace, excludedReplicas };
    for (let index = 0; index < count; index += 1) {
      const id = `r-${this.observed.size}`;
      this.add(createReplayApplicant(id, { ...parts, arrivedAt: this.clock.now() }));
    }
  }

  private add(applicant: Applicant): void {
    this.observed.set(applicant.id, { applicant, ending: undefined, waits: 0 });
    this.admission.submit(applicant);
  }

  /** Submits a request again that was refused. */
  private submitAgain(index: number): void {
    const refused = [...this.observed.values()].filter(({ ending }) => ending === 'refused');
    const known = refused[index % refused.length];
    if (known !== undefined) {
      const arrivedAt = this.clock.now();
      const id = `r-${this.observed.size}`;
      this.add({ ...known.applicant, id, arrivedAt, deadline: arrivedAt + 5_000 });
    }
  }

  private withdraw(index: number): void {
    const { waiting } = this;
    const known = waiting[index % waiting.length];
    if (known !== undefined) {
      known.ending = 'withdrawn';
      this.admission.withdraw(known.applicant.id);
    }
  }

  private get waiting(): ObservedApplicant[] {
    return [...this.observed.values()].filter(({ ending }) => ending === undefined);
  }

  private check(decision: AdmissionDecision): void {
    const { applicant, kind } = decision;
    const known = this.observed.get(applicant.id)!;
    // Each applicant begins or is refused once, unless it has withdrawn.
    expect(known.ending).toBeUndefined();
    this.checkWait(applicant);
    switch (kind) {
      case 'begin': {
        const { state } = decision.chosen;
        expect(this.inService).toContain(state);
        expect(applicant.excludedReplicas.has(state.replica.id)).toBe(false);
        expect(state.running.size).toBeLessThan(SLOTS);
        this.checkRanks(applicant, state);
        known.ending = 'begun';
        const engine = this.engines.find((each) => each.state === state)!;
        engine.begin(decision.chosen, applicant.criteria, () => undefined);
        break;
      }
      case 'wait':
        known.waits += 1;
        expect(known.waits).toBe(1);
        break;
      case 'refuse':
        expect(decision.retryAfter).toBeGreaterThanOrEqual(admissionOptions.minRetryAfter);
        known.ending = 'refused';
        break;
      default:
        decision satisfies never;
    }
  }

  /** A less urgent applicant never begins at an engine where a more urgent one could in time. */
  private checkRanks({ id, criteria }: Applicant, state: ReplicaState): void {
    const now = this.clock.now();
    const shortest = this.getShortestTarget(now);
    const inputs = { state, profile: this.service.engine, now, options: OPTIONS };
    const room = new EngineRoom({ ...inputs, maxBacklog: shortest * OPTIONS.backlogShare });
    const passed = this.waiting.filter(
      ({ applicant }) =>
        applicant.id !== id &&
        applicant.criteria.rank < criteria.rank &&
        !applicant.excludedReplicas.has(state.replica.id),
    );
    passed.forEach(({ applicant }) => {
      const { latencyTarget, prompt } = applicant.criteria;
      const missingTokens = prompt!.inputTokens;
      const reserve = latencyTarget * OPTIONS.targetReserve;
      const firstTokenAt = now + room.getExpectedWait(missingTokens) + reserve;
      const couldBegin =
        room.fits({ missingTokens, memoryTokens: 0 }) &&
        firstTokenAt <= applicant.arrivedAt + latencyTarget;
      expect(couldBegin).toBe(false);
    });
  }

  private getShortestTarget(now: number): number {
    const recent = [...this.observed.values()].filter(
      ({ applicant }) => now - applicant.arrivedAt <= OPTIONS.targetMemory,
    );
    return Math.min(...recent.map(({ applicant }) => applicant.criteria.latencyTarget));
  }

  private checkWaits(): void {
    this.waiting.forEach(({ applicant }) => this.checkWait(applicant));
    expect(this.admission.size).toBe(this.waiting.length);
  }

  /** Nothing waits beyond its target and an eighth of that. */
  private checkWait({ arrivedAt, criteria }: Applicant): void {
    const waited = this.clock.now() - arrivedAt;
    expect(waited).toBeLessThanOrEqual(criteria.latencyTarget * (1 + 1 / 8));
  }

  private checkAllDecided(): void {
    expect(this.waiting).toEqual([]);
    expect(this.admission.size).toBe(0);
    this.engines.forEach(({ state }) => expect(state.running.size).toBe(0));
  }

  /** Once all has ended, a request begins at once. */
  private checkCalm(): void {
    this.lost.clear();
    this.add(createReplayApplicant('calm', { tokens: 100, arrivedAt: this.clock.now() }));
    expect(this.observed.get('calm')!.ending).toBe('begun');
  }
}

describe('EngineAdmission', () => {
  it('decides once about each applicant, in time and in order of rank', () => {
    const property = fc.property(
      fc.array(step, { minLength: 30, maxLength: 120, size: 'max' }),
      (steps) => new Observer().run(steps),
    );
    fc.assert(property, { numRuns: RUNS, seed: SEED });
  });
});
