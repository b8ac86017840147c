import * as fc from 'fast-check';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { RouteKind } from '../../config/RelayConfiguration.js';
import { AttemptEnd, Outcome } from '../messages.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 300);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_202);

const KINDS = [
  { kind: RouteKind.Idempotent, repeatable: true },
  { kind: RouteKind.Once, repeatable: false },
  { kind: RouteKind.Stream, repeatable: true },
  { kind: RouteKind.Stream, repeatable: false },
];

const ENDS = Object.values(AttemptEnd).filter((end) => end !== AttemptEnd.Cancelled);

const step = fc.oneof(
  fc.record({
    do: fc.constant('submit' as const),
    kind: fc.nat(3),
    attempts: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({ do: fc.constant('end' as const), pick: fc.nat(), end: fc.constantFrom(...ENDS) }),
  fc.record({ do: fc.constant('first-byte-received' as const), pick: fc.nat() }),
  fc.record({ do: fc.constant('leave' as const), pick: fc.nat() }),
  fc.record({ do: fc.constant('advance' as const), span: fc.integer({ min: 1, max: 900 }) }),
  fc.record({ do: fc.constant('replicas' as const), mask: fc.nat(15) }),
  fc.record({ do: fc.constant('healthy' as const), replica: fc.nat(3) }),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const REPLICAS = ['i-0', 'i-1', 'i-2', 'i-3'].map((id) => createReplica(id));

/** What a simple observer knows of each request. */
interface Story {
  repeatable: boolean;
  attempts: number;
  sent: number;
  /** Attempts that may have run. */
  ran: number;
  running: number | undefined;
  over: string | undefined;
}

/** Plays steps against the core and checks each order against what the observer knows. */
class Observer {
  readonly harness = new CoreHarness([createService('app')], REPLICAS, { retrySlack: 3 });

  readonly stories = new Map<string, Story>();

  private seen = 0;

  play(steps: Step[]): void {
    steps.forEach((next) => {
      this.act(next);
      this.check();
    });
    // Every request ends by its deadline at the latest.
    this.harness.clock.advance(10_000);
    this.check();
    this.stories.forEach((story) => expect(story.over).toBeDefined());
    expect(this.harness.core.openRequests).toBe(0);
  }

  private act(next: Step): void {
    const { harness } = this;
    switch (next.do) {
      case 'submit': {
        const id = `r${this.stories.size}`;
        const { kind, repeatable } = KINDS[next.kind]!;
        const story = { repeatable, attempts: next.attempts, sent: 0, ran: 0 };
        this.stories.set(id, { ...story, running: undefined, over: undefined });
        harness.submit(createRequest(id, { kind, repeatable, maxAttempts: next.attempts }));
        break;
      }
      case 'end':
        this.end(next.pick, next.end);
        break;
      case 'first-byte-received':
        this.withRunning(next.pick, (id, attempt) =>
          harness.core.handle({ kind: 'first-byte-received', id, attempt }),
        );
        break;
      case 'leave':
        this.withOpen(next.pick, (id, story) => {
          Object.assign(story, { over: 'left' });
          harness.core.handle({ kind: 'caller-left', id });
        });
        break;
      case 'advance':
        harness.clock.advance(next.span);
        break;
      case 'replicas':
        harness.core.handle({
          kind: 'replicas',
          // eslint-disable-next-line no-bitwise
          replicas: REPLICAS.filter((_replica, index) => (next.mask >> index) & 1),
        });
        break;
      case 'healthy':
        harness.core.handle({ kind: 'health', replica: `i-${next.replica}`, isHealthy: true });
        break;
      default:
        next satisfies never;
    }
  }

  private end(pick: number, end: AttemptEnd): void {
    this.withRunning(pick, (id, attempt, story) => {
      const counted = end !== AttemptEnd.NotSent && end !== AttemptEnd.Misdirected;
      const ran = counted && end !== AttemptEnd.Refused;
      Object.assign(story, {
        running: undefined,
        sent: story.sent + Number(counted),
        ran: story.ran + Number(ran),
      });
      this.harness.end(id, attempt, end);
    });
  }

  private check(): void {
    const { effects } = this.harness;
    for (; this.seen < effects.length; this.seen += 1) {
      const effect = effects[this.seen]!;
      if (effect.kind === 'send') {
        this.checkSend(effect.id, effect.attempt);
      } else if (effect.kind === 'cancel') {
        this.noteCancel(effect.id, effect.attempt);
      } else if (effect.kind === 'give-up') {
        this.checkGiveUp(effect.id, effect.outcome);
      } else if (effect.kind === 'settle') {
        this.finish(effect.id, 'settled');
      }
    }
  }

  private checkSend(id: string, attempt: number): void {
    const story = this.stories.get(id)!;
    expect(story.over).toBeUndefined();
    expect(story.running).toBeUndefined();
    // What may run once is sent again only if nothing can have run.
    expect(story.repeatable || story.ran === 0).toBe(true);
    expect(story.sent).toBeLessThan(story.attempts);
    Object.assign(story, { running: attempt });
  }

  /** A cancelled attempt reached its replica and may have run. */
  private noteCancel(id: string, attempt: number): void {
    const story = this.stories.get(id)!;
    expect(story.running).toBe(attempt);
    Object.assign(story, {
      running: undefined,
      sent: story.sent + 1,
      ran: story.ran + 1,
    });
  }

  private checkGiveUp(id: string, outcome: Outcome): void {
    const story = this.stories.get(id)!;
    expect(outcome === Outcome.NotRun && story.ran > 0).toBe(false);
    this.finish(id, 'given up');
  }

  private finish(id: string, over: string): void {
    const story = this.stories.get(id)!;
    expect(story.over).toBeUndefined();
    Object.assign(story, { over });
  }

  private withRunning(
    pick: number,
    act: (id: string, attempt: number, story: Story) => void,
  ): void {
    const running = [...this.stories].filter(
      ([, story]) => story.running !== undefined && story.over === undefined,
    );
    const found = running[pick % Math.max(1, running.length)];
    if (found !== undefined) {
      act(found[0], found[1].running!, found[1]);
    }
  }

  private withOpen(pick: number, act: (id: string, story: Story) => void): void {
    const open = [...this.stories].filter(([, story]) => story.over === undefined);
    const found = open[pick % Math.max(1, open.length)];
    if (found !== undefined) {
      act(...found);
    }
  }
}

describe('PlacementCore, any order of events', () => {
  it('runs once at most what may run once, never says "not run" of what may have, ends all', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => new Observer().play(steps)),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
