import * as fc from 'fast-check';
import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';
import type { SharedAttempt, PlacementUpdate } from '../messages.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 60);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_203);

const DAEMONS = Array.from({ length: 18 }, (_item, index) => `d-${index}`);
const ENGINES = createEngines(6);

/** Maximum delay of a datagram in milliseconds, long enough that some arrive after a timeout. */
const MAX_DATAGRAM_DELAY = 150;

const ATTEMPT_LIST_PERIOD = 1_000;

const daemon = fc.nat(DAEMONS.length - 1);

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ do: fc.constant('submit' as const), daemon, session: fc.nat(5) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('end' as const),
      daemon,
      end: fc.constantFrom(
        ...Object.values(AttemptEnd).filter((end) => end !== AttemptEnd.Cancelled),
      ),
    }),
  },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('answer' as const), daemon }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('leave' as const), daemon }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('drain' as const), daemon, engine: fc.nat(5) }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('disconnect' as const), daemon }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('reconnect' as const), daemon }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('hide-peer' as const), daemon, peer: daemon }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('advance' as const),
      duration: fc.integer({ min: 1, max: 120 }),
    }),
  },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

interface Sent {
  id: string;
  attempt: number;
  replica: string;
}

/** Eighteen daemons, and a network that loses, delays and duplicates their datagrams. */
class FleetSimulation {
  private readonly members = DAEMONS.map(
    () => new CoreHarness([createEngineService('llm')], ENGINES),
  );

  private readonly disconnected = new Set<number>();

  private readonly draining = DAEMONS.map(() => new Set<string>());

  /** Attempts in flight, by daemon. */
  private readonly running = DAEMONS.map(() => new Map<string, Sent>());

  /** IDs of requests that have ended. */
  private readonly ended = new Set<string>();

  /** Number of effects that have been checked, by daemon. */
  private readonly checkedEffects = DAEMONS.map(() => 0);

  private submitted = 0;

  /**
   * @param datagramOutcomes - from 0 to 99, used in turn: whether each datagram is lost, delayed or
   *   duplicated
   */
  constructor(private readonly datagramOutcomes: readonly number[]) {
    this.members.forEach((member, index) =>
      member.core.handle({ kind: 'fleet', self: DAEMONS[index]!, daemons: DAEMONS }),
    );
  }

  run(steps: readonly Step[]): void {
    steps.forEach((next) => {
      this.act(next);
      this.collect();
    });
  }

  /** Ends all requests, repeats lost updates, and checks that no daemon counts any attempt. */
  finish(): void {
    this.disconnected.clear();
    this.members.forEach((member) => {
      member.core.handle({ kind: 'replicas', replicas: ENGINES });
    });
    this.draining.forEach((engines) => engines.clear());
    for (let round = 0; round < 12; round += 1) {
      this.running.forEach((running, index) => {
        [...running.values()].forEach(({ id, attempt }) => {
          running.delete(id);
          this.members[index]!.end(id, attempt, AttemptEnd.Completed);
        });
      });
      this.advance(ATTEMPT_LIST_PERIOD, true);
      this.collect();
    }
    expect(this.ended.size).toBe(this.submitted);
    this.members.forEach((member) => {
      expect(member.core.openRequests).toBe(0);
      const left = member.core.registry
        .getService('llm')
        .getReplicasInService()
        .reduce((sum, { running }) => sum + running.size, 0);
      expect(left).toBe(0);
    });
  }

  private act(next: Step): void {
    switch (next.do) {
      case 'submit': {
        const id = `r-${this.submitted}`;
        this.submitted += 1;
        const prompt = createPrompt([
          [`s-${next.session}`, 1_000],
          [id, 500],
        ]);
        this.members[next.daemon]!.submit(
          createRequest(id, { service: 'llm', prompt, maxAttempts: 3, deadline: 3_000 }),
        );
        break;
      }
      case 'end':
      case 'answer':
      case 'leave':
        this.changeFirstRunning(next);
        break;
      case 'drain':
        this.drain(next.daemon, next.engine);
        break;
      case 'disconnect':
        this.disconnected.add(next.daemon);
        break;
      case 'reconnect':
        this.disconnected.delete(next.daemon);
        break;
      case 'hide-peer':
        // Daemons that reach different peers may have different placers for the same group.
        this.members[next.daemon]!.core.handle({
          kind: 'fleet',
          self: DAEMONS[next.daemon]!,
          daemons: DAEMONS.filter((_name, index) => index !== next.peer || index === next.daemon),
        });
        break;
      case 'advance':
        this.advance(next.duration, false);
        break;
      default:
        next satisfies never;
    }
  }

  private changeFirstRunning(next: Extract<Step, { do: 'end' | 'answer' | 'leave' }>): void {
    const member = this.members[next.daemon]!;
    const running = this.running[next.daemon]!;
    const [first] = running.values();
    if (first === undefined) {
      return;
    }
    const { id, attempt } = first;
    if (next.do === 'answer') {
      member.core.handle({ kind: 'first-byte-received', id, attempt });
    } else if (next.do === 'leave') {
      running.delete(id);
      this.ended.add(id);
      member.core.handle({ kind: 'caller-left', id });
    } else {
      running.delete(id);
      member.end(id, attempt, next.end);
    }
  }

  private drain(index: number, engine: number): void {
    const draining = this.draining[index]!;
    draining.add(ENGINES[engine]!.id);
    this.members[index]!.core.handle({
      kind: 'replicas',
      replicas: ENGINES.map((replica) => ({ ...replica, isDraining: draining.has(replica.id) })),
    });
  }

  private advance(duration: number, isListSent: boolean): void {
    for (let passed = 0; passed < duration; passed += 10) {
      this.members.forEach((member) => member.clock.advance(10));
      this.collect();
    }
    if (isListSent) {
      this.members.forEach((member, index) => this.sendAttemptList(member, index));
    }
  }

  private sendAttemptList(member: CoreHarness, index: number): void {
    const shared = member.core.getSharedAttempts();
    this.members.forEach((other, to) => {
      if (to !== index) {
        const attempts: SharedAttempt[] = shared.get(DAEMONS[to]) ?? [];
        const update: PlacementUpdate = { kind: 'attempt-list', attempts };
        other.core.handle({ kind: 'peer-update', peer: DAEMONS[index]!, update });
      }
    });
  }

  /** Checks the effects that the daemons emitted since the last call, and transmits their updates. */
  private collect(): void {
    this.members.forEach((member, index) => {
      for (
        ;
        this.checkedEffects[index]! < member.effects.length;
        this.checkedEffects[index]! += 1
      ) {
        const effect = member.effects[this.checkedEffects[index]!]!;
        switch (effect.kind) {
          case 'send':
            expect(this.running[index]!.has(effect.id)).toBe(false);
            expect(this.ended.has(effect.id)).toBe(false);
            expect(this.draining[index]!.has(effect.replica.id)).toBe(false);
            this.running[index]!.set(effect.id, {
              id: effect.id,
              attempt: effect.attempt,
              replica: effect.replica.id,
            });
            break;
          case 'cancel':
            this.running[index]!.delete(effect.id);
            break;
          case 'settle':
          case 'give-up':
            expect(this.ended.has(effect.id)).toBe(false);
            this.ended.add(effect.id);
            break;
          case 'share':
            this.transmit(index, effect.to, effect.update);
            break;
          default:
            break;
        }
      }
    });
  }

  private transmit(from: number, to: string | undefined, update: PlacementUpdate): void {
    this.members.forEach((member, index) => {
      if (index === from || (to !== undefined && to !== DAEMONS[index])) {
        return;
      }
      const outcome = this.datagramOutcomes[this.outcomeIndex % this.datagramOutcomes.length]!;
      this.outcomeIndex += 1;
      if (this.disconnected.has(from) || this.disconnected.has(index) || outcome < 10) {
        return;
      }
      const deliver = () =>
        member.core.handle({ kind: 'peer-update', peer: DAEMONS[from]!, update });
      member.clock.setTimer(outcome > 90 ? MAX_DATAGRAM_DELAY : 2, deliver);
      if (outcome % 10 === 7) {
        member.clock.setTimer(MAX_DATAGRAM_DELAY, deliver);
      }
    });
  }

  private outcomeIndex = 0;
}

describe('a large fleet with lost, delayed and duplicated datagrams', () => {
  it('ends each request once, with one attempt at a time, and leaves no attempt counted', () => {
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 60 }),
        fc.array(fc.nat(99), { minLength: 20, maxLength: 60 }),
        (steps, datagramOutcomes) => {
          const simulation = new FleetSimulation(datagramOutcomes);
          simulation.run(steps);
          simulation.finish();
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
