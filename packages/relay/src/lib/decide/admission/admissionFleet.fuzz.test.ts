import * as fc from 'fast-check';
import { AdmissionScenario } from '../../../test/AdmissionScenario.js';
import type { DatagramFate } from '../../../test/CoreFleet.js';
import { DATAGRAM_DELAY } from '../../../test/CoreFleet.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 25);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_204);

const DAEMONS = 5;

/** Delay of some datagrams, longer than daemons wait for a response. */
const LONG_DELAY = 150;

const daemon = fc.nat(DAEMONS - 1);

const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant('load' as const),
      perSecond: fc.integer({ min: 5, max: 80 }),
      duration: fc.integer({ min: 50, max: 600 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('kill' as const), daemon }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('start' as const), daemon }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('notice' as const) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('freeze' as const), daemon }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('thaw' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constant('hide-peer' as const), daemon, peer: daemon }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constant('crash-engine' as const), engine: fc.nat(2) }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('engines' as const), count: fc.nat(3) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('leave' as const), daemon }) },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** @param outcomes - from 0 to 99, used in turn: whether each datagram is lost, late or doubled */
function createFate(outcomes: readonly number[]): DatagramFate {
  let index = 0;
  return () => {
    const outcome = outcomes[index % outcomes.length]!;
    index += 1;
    if (outcome < 8) {
      return [];
    }
    const delay = outcome > 92 ? LONG_DELAY : DATAGRAM_DELAY;
    return outcome % 12 === 7 ? [delay, LONG_DELAY] : [delay];
  };
}

/** Plays steps against a fleet before three engines. */
class FuzzedFleet {
  private readonly scenario: AdmissionScenario;

  constructor(outcomes: readonly number[]) {
    this.scenario = new AdmissionScenario(DAEMONS, { getFate: createFate(outcomes) }, 3);
  }

  act(next: Step): void {
    const { scenario } = this;
    const { fleet, running } = scenario;
    switch (next.do) {
      case 'load':
        if (running.length > 0) {
          scenario.load(next.perSecond, next.duration);
        } else {
          fleet.advance(next.duration);
        }
        break;
      case 'kill':
        if (fleet.members.has(`d-${next.daemon}`)) {
          scenario.kill(`d-${next.daemon}`);
        }
        break;
      case 'start':
        this.start(`d-${next.daemon}`);
        break;
      case 'notice':
        scenario.notice();
        break;
      case 'freeze':
        if (fleet.members.has(`d-${next.daemon}`)) {
          scenario.freeze(`d-${next.daemon}`);
        }
        break;
      case 'thaw':
        this.thaw();
        break;
      case 'hide-peer':
        if (running.includes(`d-${next.daemon}`) && next.peer !== next.daemon) {
          const seen = [...fleet.members.keys()].filter((name) => name !== `d-${next.peer}`);
          fleet.setView(`d-${next.daemon}`, seen);
        }
        break;
      case 'crash-engine':
        fleet.engines.get(`e-${next.engine}`)!.crash();
        fleet.engines.get(`e-${next.engine}`)!.isUp = true;
        break;
      case 'engines':
        fleet.setReplicas(AdmissionScenario.createReplicas(next.count));
        break;
      case 'leave':
        this.leave(`d-${next.daemon}`);
        break;
      default:
        next satisfies never;
    }
  }

  /** Restores the fleet, and checks what its callers got and that calm load is served. */
  finish(): void {
    const { scenario } = this;
    this.thaw();
    scenario.daemons.forEach((name) => this.start(name));
    scenario.fleet.setReplicas(AdmissionScenario.createReplicas(3));
    scenario.fleet.setFate(() => [DATAGRAM_DELAY]);
    scenario.notice();
    scenario.settle();
    scenario.settle();
    scenario.check();
    scenario.checkCalm();
  }

  private start(name: string): void {
    if (!this.scenario.fleet.members.has(name)) {
      this.scenario.fleet.start(name);
      this.scenario.notice();
    }
  }

  private thaw(): void {
    const { fleet } = this.scenario;
    [...fleet.members.values()]
      .filter(({ isFrozen }) => isFrozen)
      .forEach(({ name }) => fleet.thaw(name));
  }

  /** The caller of the newest request of a daemon leaves. */
  private leave(name: string): void {
    const { fleet, expected, running } = this.scenario;
    const id = running.includes(name) ? fleet.get(name).harness.submitted.at(-1) : undefined;
    if (id !== undefined && fleet.getResults(id).length === 0) {
      expected.delete(id);
      fleet.get(name).harness.core.handle({ kind: 'caller-left', id });
      fleet.advance(1);
    }
  }
}

describe('admission in a fleet with failures in any order', () => {
  it('answers each caller once, runs nothing that it refuses, and leaves nothing counted', () => {
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 30 }),
        fc.array(fc.nat(99), { minLength: 20, maxLength: 60 }),
        (steps, outcomes) => {
          const fleet = new FuzzedFleet(outcomes);
          steps.forEach((next) => fleet.act(next));
          fleet.finish();
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
