import * as fc from 'fast-check';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { RouteKind } from '../../config/RelayConfiguration.js';
import { AttemptEnd, Outcome } from '../messages.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 300);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_202);

const KINDS = [
  { kind: RouteKind.Idempotent, isRetryable: true },
  { kind: RouteKind.Once, isRetryable: false },
  { kind: RouteKind.Stream, isRetryable: true },
  { kind: RouteKind.Stream, isRetryable: false },
];

const ENDS = Object.values(AttemptEnd).filter((end) => end !== AttemptEnd.Cancelled);

const step = fc.oneof(
  fc.record({
    do: fc.constant('submit' as const),
    kind: fc.nat(3),
    attempts: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({ do: fc.constant('end' as const), index: fc.nat(), end: fc.constantFrom(...ENDS) }),
  fc.record({ do: fc.constant('first-byte-received' as const), index: fc.nat() }),
  fc.record({ do: fc.constant('leave' as const), index: fc.nat() }),
  fc.record({ do: fc.constant('advance' as const), span: fc.integer({ min: 1, max: 900 }) }),
  fc.record({ do: fc.constant('replicas' as const), mask: fc.nat(15) }),
  fc.record({ do: fc.constant('healthy' as const), replica: fc.nat(3) }),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const REPLICAS = ['i-0', 'i-1', 'i-2', 'i-3'].map((id) => createReplica(id));

/** What the observer knows about a request. */
interface ObservedRequest {
  isRetryable: boolean;
  maxAttempts: number;
  /** Attempts that count against the maximum. */
  sent: number;
  /** Attempts that may have run. */
  possibleRuns: number;
  running: number | undefined;
  /** How the request ended. */
  ending: string | undefined;
}

/** Applies steps to a core and checks each effect against a simple model of the requests. */
class Observer {
  readonly harness = new CoreHarness([createService('app')], REPLICAS, { retrySlack: 3 });

  readonly requests = new Map<string, ObservedRequest>();

  private checkedEffects = 0;

  run(steps: Step[]): void {
    steps.forEach((next) => {
      this.act(next);
      this.check();
    });
    // Every request ends at its deadline at the latest.
    this.harness.clock.advance(10_000);
    this.check();
    this.requests.forEach((request) => expect(request.ending).toBeDefined());
    expect(this.harness.core.openRequests).toBe(0);
  }

  private act(next: Step): void {
    const { harness } = this;
    switch (next.do) {
      case 'submit': {
        const id = `r${this.requests.size}`;
        const { kind, isRetryable } = KINDS[next.kind]!;
        const request = { isRetryable, maxAttempts: next.attempts, sent: 0, possibleRuns: 0 };
        this.requests.set(id, { ...request, running: undefined, ending: undefined });
        harness.submit(createRequest(id, { kind, isRetryable, maxAttempts: next.attempts }));
        break;
      }
      case 'end':
        this.end(next.index, next.end);
        break;
      case 'first-byte-received':
        this.withRunning(next.index, (id, attempt) =>
          harness.core.handle({ kind: 'first-byte-received', id, attempt }),
        );
        break;
      case 'leave':
        this.withOpen(next.index, (id, request) => {
          Object.assign(request, { ending: 'left' });
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

  private end(index: number, end: AttemptEnd): void {
    this.withRunning(index, (id, attempt, request) => {
      const isCounted =
        end !== AttemptEnd.NotSent &&
        end !== AttemptEnd.NoPath &&
        end !== AttemptEnd.Withdrawn &&
        end !== AttemptEnd.Misdirected;
      const mayHaveRun = isCounted && end !== AttemptEnd.Refused;
      Object.assign(request, {
        running: undefined,
        sent: request.sent + Number(isCounted),
        possibleRuns: request.possibleRuns + Number(mayHaveRun),
      });
      this.harness.end(id, attempt, end);
    });
  }

  private check(): void {
    const { effects } = this.harness;
    for (; this.checkedEffects < effects.length; this.checkedEffects += 1) {
      const effect = effects[this.checkedEffects]!;
      if (effect.kind === 'send') {
        this.checkSend(effect.id, effect.attempt);
      } else if (effect.kind === 'cancel') {
        this.recordCancel(effect.id, effect.attempt);
      } else if (effect.kind === 'give-up') {
        this.checkGiveUp(effect.id, effect.outcome);
      } else if (effect.kind === 'settle') {
        this.finish(effect.id, 'settled');
      }
    }
  }

  private checkSend(id: string, attempt: number): void {
    const request = this.requests.get(id)!;
    expect(request.ending).toBeUndefined();
    expect(request.running).toBeUndefined();
    // A request that is not retryable is sent again only if no attempt can have run.
    expect(request.isRetryable || request.possibleRuns === 0).toBe(true);
    expect(request.sent).toBeLessThan(request.maxAttempts);
    Object.assign(request, { running: attempt });
  }

  /** A cancelled attempt reached its replica and may have run. */
  private recordCancel(id: string, attempt: number): void {
    const request = this.requests.get(id)!;
    expect(request.running).toBe(attempt);
    Object.assign(request, {
      running: undefined,
      sent: request.sent + 1,
      possibleRuns: request.possibleRuns + 1,
    });
  }

  private checkGiveUp(id: string, outcome: Outcome): void {
    const request = this.requests.get(id)!;
    expect(outcome === Outcome.NotRun && request.possibleRuns > 0).toBe(false);
    this.finish(id, 'given up');
  }

  private finish(id: string, ending: string): void {
    const request = this.requests.get(id)!;
    expect(request.ending).toBeUndefined();
    Object.assign(request, { ending });
  }

  private withRunning(
    index: number,
    act: (id: string, attempt: number, request: ObservedRequest) => void,
  ): void {
    const running = [...this.requests].filter(
      ([, request]) => request.running !== undefined && request.ending === undefined,
    );
    const found = running[index % Math.max(1, running.length)];
    if (found !== undefined) {
      act(found[0], found[1].running!, found[1]);
    }
  }

  private withOpen(index: number, act: (id: string, request: ObservedRequest) => void): void {
    const open = [...this.requests].filter(([, request]) => request.ending === undefined);
    const found = open[index % Math.max(1, open.length)];
    if (found !== undefined) {
      act(...found);
    }
  }
}

describe('PlacementCore with events in any order', () => {
  it('reruns only retryable requests, reports not-run only if nothing ran, and ends each request', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => new Observer().run(steps)),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
