import type { ManualClock, Milliseconds, Random } from '@apricotrill/utils';
import type { PausableClock } from './PausableClock.js';

/** Delays of calls: mostly short, at times past every timeout, rarely past a lease's span. */
export function createDelayGenerator(random: Random): () => Milliseconds {
  return () => {
    const kind = random.integer(100);
    if (kind < 94) {
      return 1 + random.integer(20);
    }
    return kind < 98 ? 1_000 + random.integer(8_000) : 15_000 + random.integer(45_000);
  };
}

/** The way from one process to a peer: each call takes time there, has its effect, and time back. */
export class SimulatedLink {
  constructor(
    private readonly base: ManualClock,
    readonly clock: PausableClock,
    private readonly getDelay: () => Milliseconds,
  ) {}

  async call<Value>(timeout: Milliseconds, effect: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      const giveUp = () => reject(new Error('timeout'));
      const timer = this.clock.setTimer(timeout, giveUp);
      const answer = (deliver: () => void) => {
        this.base.setTimer(this.getDelay(), () =>
          this.clock.run(() => {
            timer.cancel();
            deliver();
          }),
        );
      };
      this.base.setTimer(this.getDelay(), () => {
        try {
          const value = effect();
          answer(() => resolve(value));
        } catch (error) {
          answer(() => reject(error));
        }
      });
    });
  }
}

/** Lets everything run that doesn't wait for the clock. */
export async function flushTasks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Moves time on, timer by timer, and calls `check` after each. */
export async function advanceClock(
  clock: ManualClock,
  span: Milliseconds,
  check: () => void = () => {},
): Promise<void> {
  const end = clock.now() + span;
  await flushTasks();
  while (clock.runNext(end)) {
    // eslint-disable-next-line no-await-in-loop
    await flushTasks();
    check();
  }
  clock.advance(end - clock.now());
  check();
}
