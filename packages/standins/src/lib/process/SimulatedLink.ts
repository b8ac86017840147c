import type { ManualClock, Milliseconds, Random } from '@apricotrill/utils';
import type { PausableClock } from './PausableClock.js';

/**
 * Creates a generator of call delays: mostly short, sometimes beyond every timeout, and rarely
 * beyond the duration of a lease.
 */
export function createDelayGenerator(random: Random): () => Milliseconds {
  return () => {
    const percentile = random.integer(100);
    if (percentile < 94) {
      return 1 + random.integer(20);
    }
    return percentile < 98 ? 1_000 + random.integer(8_000) : 15_000 + random.integer(45_000);
  };
}

/** A simulated network link from a process to a peer that delays each call and its response. */
export class SimulatedLink {
  constructor(
    private readonly base: ManualClock,
    readonly clock: PausableClock,
    private readonly getDelay: () => Milliseconds,
  ) {}

  async call<Value>(timeout: Milliseconds, handleCall: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      const expire = () => reject(new Error('timeout'));
      const timer = this.clock.setTimer(timeout, expire);
      const sendAnswer = (deliver: () => void) => {
        this.base.setTimer(this.getDelay(), () =>
          this.clock.run(() => {
            timer.cancel();
            deliver();
          }),
        );
      };
      this.base.setTimer(this.getDelay(), () => {
        try {
          const value = handleCall();
          sendAnswer(() => resolve(value));
        } catch (error) {
          sendAnswer(() => reject(error));
        }
      });
    });
  }
}

/** Runs all pending tasks that do not wait for the clock. */
export async function flushTasks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Advances the clock timer by timer and calls `check` after each. */
export async function advanceClock(
  clock: ManualClock,
  duration: Milliseconds,
  check: () => void = () => {},
): Promise<void> {
  const end = clock.now() + duration;
  await flushTasks();
  while (clock.runNext(end)) {
    // eslint-disable-next-line no-await-in-loop
    await flushTasks();
    check();
  }
  clock.advance(end - clock.now());
  check();
}
