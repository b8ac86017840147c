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

/** The longest that a datagram is on its way, in milliseconds: some come after a timeout. */
const LONGEST_WAY = 150;

const REFRESH = 1_000;

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
  { weight: 1, arbitrary: fc.record({ do: fc.constant('mute' as const), daemon }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('unmute' as const), daemon }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('unseen' as const), daemon, other: daemon }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('advance' as const),
      span: fc.integer({ min: 1, max: 120 }),
    }),
  },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

interface Sent {
  id: string;
  attempt: number;
  replica: string;
}

/** Eighteen daemons, and a network that loses, delays and repeats what they tell each other. */
class FleetPlay {
  private readonly members = DAEMONS.map(
    () => new CoreHarness([createEngineService('llm')], ENGINES),
  );

  private readonly muted = new Set<number>();

  private readonly draining = DAEMONS.map(() => new Set<string>());

  /** Attempts under way, by daemon. */
  private readonly running = DAEMONS.map(() => new Map<string, Sent>());

  private readonly over = new Set<string>();

  private readonly read = DAEMONS.map(() => 0);

  private submitted = 0;

  constructor(private readonly fates: readonly number[]) {
    this.members.forEach((member, index) =>
      member.core.handle({ kind: 'fleet', self: DAEMONS[index]!, daemons: DAEMONS }),
    );
  }

  play(steps: readonly Step[]): void {
    steps.forEach((next) => {
      this.act(next);
      this.collect();
    });
  }

  /** Everything ends, and what was lost is told again: nobody counts anything any more. */
  finish(): void {
    this.muted.clear();
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
      this.advance(REFRESH, true);
      this.collect();
    }
    expect(this.over.size).toBe(this.submitted);
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
        this.actOnRunning(next);
        break;
      case 'drain':
        this.drain(next.daemon, next.engine);
        break;
      case 'mute':
        this.muted.add(next.daemon);
        break;
      case 'unmute':
        this.muted.delete(next.daemon);
        break;
      case 'unseen':
        // Two daemons that see different others have different placers.
        this.members[next.daemon]!.core.handle({
          kind: 'fleet',
          self: DAEMONS[next.daemon]!,
          daemons: DAEMONS.filter((_name, index) => index !== next.other || index === next.daemon),
        });
        break;
      case 'advance':
        this.advance(next.span, false);
        break;
      default:
        next satisfies never;
    }
  }

  private actOnRunning(next: Extract<Step, { do: 'end' | 'answer' | 'leave' }>): void {
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
      this.over.add(id);
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

  private advance(span: number, isRefreshed: boolean): void {
    for (let passed = 0; passed < span; passed += 10) {
      this.members.forEach((member) => member.clock.advance(10));
      this.collect();
    }
    if (isRefreshed) {
      this.members.forEach((member, index) => this.refresh(member, index));
    }
  }

  private refresh(member: CoreHarness, index: number): void {
    const shared = member.core.getSharedAttempts();
    this.members.forEach((other, to) => {
      if (to !== index) {
        const attempts: SharedAttempt[] = shared.get(DAEMONS[to]) ?? [];
        const news: PlacementUpdate = { kind: 'attempt-list', attempts };
        other.core.handle({ kind: 'peer-update', peer: DAEMONS[index]!, update: news });
      }
    });
  }

  /** Takes what the daemons ordered since, checks it, and carries their news. */
  private collect(): void {
    this.members.forEach((member, index) => {
      for (; this.read[index]! < member.effects.length; this.read[index]! += 1) {
        const effect = member.effects[this.read[index]!]!;
        switch (effect.kind) {
          case 'send':
            expect(this.running[index]!.has(effect.id)).toBe(false);
            expect(this.over.has(effect.id)).toBe(false);
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
            expect(this.over.has(effect.id)).toBe(false);
            this.over.add(effect.id);
            break;
          case 'share':
            this.carry(index, effect.to, effect.update);
            break;
          default:
            break;
        }
      }
    });
  }

  private carry(from: number, to: string | undefined, news: PlacementUpdate): void {
    this.members.forEach((member, index) => {
      if (index === from || (to !== undefined && to !== DAEMONS[index])) {
        return;
      }
      const fate = this.fates[this.fateIndex % this.fates.length]!;
      this.fateIndex += 1;
      if (this.muted.has(from) || this.muted.has(index) || fate < 10) {
        return;
      }
      const deliver = () =>
        member.core.handle({ kind: 'peer-update', peer: DAEMONS[from]!, update: news });
      member.clock.setTimer(fate > 90 ? LONGEST_WAY : 2, deliver);
      if (fate % 10 === 7) {
        member.clock.setTimer(LONGEST_WAY, deliver);
      }
    });
  }

  private fateIndex = 0;
}

describe('a large fleet whose datagrams are lost, late and repeated', () => {
  it('ends every request once, sends no two attempts at a time, and forgets what has ended', () => {
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 60 }),
        fc.array(fc.nat(99), { minLength: 20, maxLength: 60 }),
        (steps, fates) => {
          const play = new FleetPlay(fates);
          play.play(steps);
          play.finish();
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
