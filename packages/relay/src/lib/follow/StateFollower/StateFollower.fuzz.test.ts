import { ManualClock, createRandom } from '@apricotrill/utils';
import fc from 'fast-check';
import { ModelStore, WATCH_TIMEOUT } from '../../../test/ModelStore.js';
import { StateFollower, defaultStateFollowerOptions } from './StateFollower.js';

type Step =
  | { kind: 'write'; name: string; item: number | undefined }
  | { kind: 'compact' | 'silence' | 'cut' | 'peer-revision' }
  /** A change that no watch reports, followed by the loss of the history that contains it. */
  | { kind: 'gap'; item: number }
  | { kind: 'availability'; isUnavailable: boolean }
  /** The store comes back from a copy that lacks some changes. */
  | { kind: 'restore'; lostChanges: number }
  | { kind: 'lag'; lag: number }
  | { kind: 'advance'; duration: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('write' as const),
    name: fc.constantFrom('a', 'b', 'c', 'd'),
    item: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }),
  }),
  fc.record({ kind: fc.constantFrom('compact', 'silence', 'cut', 'peer-revision') }),
  fc.record({ kind: fc.constant('gap' as const), item: fc.integer({ min: 0, max: 9 }) }),
  fc.record({ kind: fc.constant('availability' as const), isUnavailable: fc.boolean() }),
  fc.record({
    kind: fc.constant('restore' as const),
    lostChanges: fc.integer({ min: 0, max: 8 }),
  }),
  fc.record({ kind: fc.constant('lag' as const), lag: fc.integer({ min: 0, max: 3 }) }),
  fc.record({
    kind: fc.constant('advance' as const),
    duration: fc.integer({ min: 1, max: 12_000 }),
  }),
);

async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Runs a follower against a model store on a common clock. */
class FollowerRun {
  private readonly clock = new ManualClock();

  readonly store = new ModelStore(this.clock);

  readonly positions: [number, number][] = [];

  items: ReadonlyMap<string, number> = new Map();

  private era = 0;

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
          this.positions.push([this.era, revision]);
        },
        onLost: () => undefined,
        onReconnected: () => undefined,
        onEraChanged: ({ era }) => {
          this.era = era;
        },
        onRead: () => undefined,
        onWatchAborted: () => undefined,
        onRetained: () => undefined,
        onFault: (error) => {
          throw error;
        },
      },
    });
    this.follower.setDaemonCount(seed % 100);
    this.following = this.follower.run();
  }

  async perform(action: Step): Promise<void> {
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
      case 'peer-revision':
        this.follower.recordPeerPosition({ era: this.store.era, revision: this.store.revision });
        break;
      case 'availability':
        this.store.isUnavailable = action.isUnavailable;
        break;
      case 'restore':
        this.store.restore(action.lostChanges);
        break;
      case 'lag':
        this.store.lag = action.lag;
        break;
      case 'advance':
        await this.advance(action.duration);
        break;
      default:
        action satisfies never;
    }
    await settle();
  }

  async advance(duration: number): Promise<void> {
    for (let remaining = duration; remaining > 0; remaining -= 250) {
      this.clock.advance(Math.min(250, remaining));
      // eslint-disable-next-line no-await-in-loop
      await settle();
    }
  }

  async end(): Promise<void> {
    this.follower.dispose();
    this.store.cutWatches();
    this.clock.advance(defaultStateFollowerOptions.maxRetryDelay);
    await this.following;
  }
}

/** Enough to detect a follower that applies an outdated list; set `FUZZ_RUNS` for more runs. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 1_000);

describe('StateFollower with a store under random faults', () => {
  it('never returns to an older revision, and ends with the objects in the store', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 30 }),
        fc.integer({ min: 0, max: 1_000 }),
        async (steps, seed) => {
          const run = new FollowerRun(seed);
          for (const action of steps) {
            // eslint-disable-next-line no-await-in-loop
            await run.perform(action);
          }
          Object.assign(run.store, { isUnavailable: false, lag: 0 });
          const hasRestore = steps.some(({ kind }) => kind === 'restore');
          // Long enough for a silenced watch to time out and for retained objects to expire.
          await run.advance(
            defaultStateFollowerOptions.maxWatchWait * 1.25 +
              WATCH_TIMEOUT +
              defaultStateFollowerOptions.reconnectGrace * 2 +
              (hasRestore ? defaultStateFollowerOptions.restoredObjectDelay : 0),
          );
          expect(Object.fromEntries(run.items)).toEqual(Object.fromEntries(run.store.objects));
          const sorted = [...run.positions].sort(
            ([era, revision], [otherEra, otherRevision]) =>
              era - otherEra || revision - otherRevision,
          );
          expect(run.positions).toEqual(sorted);
          await run.end();
        },
      ),
      { numRuns: RUNS, seed: 20_261_202 },
    );
  });
});
