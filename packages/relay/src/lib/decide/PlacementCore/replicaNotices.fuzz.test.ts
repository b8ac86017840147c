import fc from 'fast-check';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);

const REPLICAS = Array.from({ length: 4 }, (_item, index) =>
  createReplica(`i-${index}`, { slots: 2 }),
);

const replica = fc.constantFrom(...REPLICAS.map(({ id }) => id));

const span = fc.integer({ min: 0, max: 5_000 });

type Step =
  | { kind: 'submit'; latencyTarget: number }
  | { kind: 'end'; index: number; end: AttemptEnd }
  | { kind: 'leaving' | 'peer-leaving'; id: string }
  | { kind: 'backoff' | 'peer-backoff'; id: string; span: number }
  | { kind: 'list'; listed: boolean[] }
  | { kind: 'advance'; span: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('submit' as const), latencyTarget: fc.constantFrom(50, 3_000) }),
  fc.record({
    kind: fc.constant('end' as const),
    index: fc.nat(20),
    end: fc.constantFrom(
      ...Object.values(AttemptEnd).filter((end) => end !== AttemptEnd.Cancelled),
    ),
  }),
  fc.record({ kind: fc.constantFrom('leaving' as const, 'peer-leaving' as const), id: replica }),
  fc.record({
    kind: fc.constantFrom('backoff' as const, 'peer-backoff' as const),
    id: replica,
    span,
  }),
  fc.record({
    kind: fc.constant('list' as const),
    listed: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
  }),
  fc.record({ kind: fc.constant('advance' as const), span }),
);

/** Remembers what replicas have announced, independently of the core. */
class NoticeObserver {
  private readonly harness = new CoreHarness([createService('app')], REPLICAS);

  private readonly leaving = new Set<string>();

  private readonly backoffEnds = new Map<string, number>();

  private seenSends = 0;

  private submitted = 0;

  constructor() {
    this.harness.core.handle({ kind: 'daemons', count: 1 });
  }

  run(steps: readonly Step[]): void {
    steps.forEach((action) => {
      this.perform(action);
      this.checkSends();
    });
    // Every request ends at its deadline at the latest.
    this.harness.clock.advance(60_000);
    this.checkSends();
    expect(this.harness.core.openRequests).toBe(0);
  }

  private perform(action: Step): void {
    const { core, clock } = this.harness;
    switch (action.kind) {
      case 'submit':
        this.submitted += 1;
        this.harness.submit(
          createRequest(`r-${this.submitted}`, {
            latencyTarget: action.latencyTarget,
            deadline: 10_000,
          }),
        );
        break;
      case 'end': {
        const sends = this.harness.getEffects('send');
        const sent = sends[sends.length === 0 ? 0 : action.index % sends.length];
        if (sent !== undefined) {
          this.harness.end(sent.id, sent.attempt, action.end);
        }
        break;
      }
      case 'leaving':
        this.leaving.add(action.id);
        core.handle({ kind: 'leaving', replica: action.id, source: 'response' });
        break;
      case 'peer-leaving': {
        const replicas = [action.id];
        this.leaving.add(action.id);
        core.handle({ kind: 'peer-update', peer: 'd-2', update: { kind: 'leaving', replicas } });
        break;
      }
      case 'backoff': {
        const end = clock.now() + action.span;
        this.backoffEnds.set(action.id, Math.max(end, this.backoffEnds.get(action.id) ?? 0));
        core.handle({ kind: 'backoff', replica: action.id, span: action.span, source: 'response' });
        break;
      }
      case 'peer-backoff': {
        const backoffs = [{ replica: action.id, remaining: action.span }];
        core.handle({ kind: 'peer-update', peer: 'd-2', update: { kind: 'backoffs', backoffs } });
        break;
      }
      case 'list':
        core.handle({
          kind: 'replicas',
          replicas: REPLICAS.filter((_replica, index) => action.listed[index]),
        });
        break;
      case 'advance':
        this.advance(action.span);
        break;
      default:
        action satisfies never;
    }
  }

  /** Checks the requests that timers send at the time at which they are sent. */
  private advance(duration: number): void {
    for (let remaining = duration; remaining > 0; remaining -= 50) {
      this.harness.clock.advance(Math.min(50, remaining));
      this.checkSends();
    }
  }

  private checkSends(): void {
    const sends = this.harness.getEffects('send');
    const now = this.harness.clock.now();
    sends.slice(this.seenSends).forEach(({ replica: { id } }) => {
      expect(this.leaving.has(id)).toBe(false);
      expect(this.backoffEnds.get(id) ?? 0).toBeLessThanOrEqual(now);
    });
    this.seenSends = sends.length;
  }
}

describe('PlacementCore with replicas that leave and ask for backoffs in any order', () => {
  it('sends nothing to them, whatever the list and the other daemons say, and ends each request', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 50 }), (steps) => new NoticeObserver().run(steps)),
      { numRuns: RUNS, seed: 49 },
    );
  });
});
