import { ManualClock, createRandom } from '@apricotrill/utils';
import fc from 'fast-check';
import { ModelStore, WATCH_TIMEOUT } from '../../../test/ModelStore.js';
import { StateFollower, followOptions } from './StateFollower.js';

type Step =
  | { kind: 'write'; name: string; item: number | undefined }
  | { kind: 'compact' | 'silence' | 'cut' | 'hint' }
  /** A change that no watch tells of, and then the history that holds it is dropped. */
  | { kind: 'gap'; item: number }
  | { kind: 'away'; isAway: boolean }
  | { kind: 'lag'; lag: number }
  | { kind: 'advance'; span: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('write' as const),
    name: fc.constantFrom('a', 'b', 'c', 'd'),
    item: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }),
  }),
  fc.record({ kind: fc.constantFrom('compact', 'silence', 'cut', 'hint') }),
  fc.record({ kind: fc.constant('gap' as const), item: fc.integer({ min: 0, max: 9 }) }),
  fc.record({ kind: fc.constant('away' as const), isAway: fc.boolean() }),
  fc.record({ kind: fc.constant('lag' as const), lag: fc.integer({ min: 0, max: 3 }) }),
  fc.record({ kind: fc.constant('advance' as const), span: fc.integer({ min: 1, max: 12_000 }) }),
);

async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** A store, and a follower of it on the same clock. */
class Run {
  private readonly clock = new ManualClock();

  readonly store = new ModelStore(this.clock);

  readonly revisions: number[] = [];

  items: ReadonlyMap<string, number> = new Map();

  private readonly follower: StateFollower<number>;

  private readonly following: Promise<void>;

  constructor(seed: number) {
    this.follower = new StateFollower({
      source: this.store,
      clock: this.clock,
      random: createRandom(seed),
      listener: {
        onObjects: (items, revision) => {
          this.items = new Map(items);
          this.revisions.push(revision);
        },
        onLost: () => undefined,
        onReconnected: () => undefined,
        onRetained: () => undefined,
      },
    });
    this.follower.setDaemonCount(seed % 100);
    this.following = this.follower.run();
  }

  async play(action: Step): Promise<void> {
    switch (action.kind) {
      case 'write':
        this.store.write(action.name, action.item);
        break;
      case 'compact':
        this.store.compact();
        break;
      case 'silence':
        this.store.silenceWatches();
        break;
      case 'cut':
        this.store.cutWatches();
        break;
      case 'gap':
        this.store.silenceWatches();
        this.store.write('a', action.item);
        this.store.compact();
        break;
      case 'hint':
        this.follower.recordPeerRevision(this.store.revision);
        break;
      case 'away':
        this.store.isAway = action.isAway;
        break;
      case 'lag':
        this.store.lag = action.lag;
        break;
      case 'advance':
        await this.advance(action.span);
        break;
      default:
        action satisfies never;
    }
    await settle();
  }

  async advance(span: number): Promise<void> {
    for (let left = span; left > 0; left -= 250) {
      this.clock.advance(Math.min(250, left));
      // eslint-disable-next-line no-await-in-loop
      await settle();
    }
  }

  async end(): Promise<void> {
    this.follower.dispose();
    this.store.cutWatches();
    this.clock.advance(followOptions.longestPause);
    await this.following;
  }
}

/** Enough to notice that an older list is taken over; some hundreds more a second by hand. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 1_000);

describe('StateFollower against a store that does anything', () => {
  it('never goes back, and ends with what the store holds', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 30 }),
        fc.integer({ min: 0, max: 1_000 }),
        async (steps, seed) => {
          const run = new Run(seed);
          for (const action of steps) {
            // eslint-disable-next-line no-await-in-loop
            await run.play(action);
          }
          Object.assign(run.store, { isAway: false, lag: 0 });
          // The longest wait of a watch that was silenced, and what is kept after a return.
          await run.advance(
            followOptions.longestWait * 1.25 + WATCH_TIMEOUT + followOptions.returnGrace * 2,
          );
          expect(Object.fromEntries(run.items)).toEqual(Object.fromEntries(run.store.objects));
          expect(run.revisions).toEqual([...run.revisions].sort((left, right) => left - right));
          await run.end();
        },
      ),
      { numRuns: RUNS, seed: 20_261_202 },
    );
  });
});
