import type { ManualClock, Milliseconds, Random } from '@apricotrill/utils';

/** Service times are exponential, with this mean. */
export const MEAN_SERVICE: Milliseconds = 2000;

/** Runs so many requests at once; the others wait in line. */
export class FakeReplica {
  readonly waits: Milliseconds[] = [];

  peak = 0;

  private running = 0;

  private readonly line: { arrived: Milliseconds; onEnd: () => void }[] = [];

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly slots: number,
  ) {}

  get load(): number {
    return this.running + this.line.length;
  }

  submit(arrived: Milliseconds, onEnd: () => void): void {
    this.line.push({ arrived, onEnd });
    this.peak = Math.max(this.peak, this.load);
    this.start();
  }

  private start(): void {
    while (this.running < this.slots && this.line.length > 0) {
      const { arrived, onEnd } = this.line.shift()!;
      this.running += 1;
      this.waits.push(this.clock.now() - arrived);
      const span = -Math.log(1 - this.random.next()) * MEAN_SERVICE;
      this.clock.setTimer(span, () => {
        this.running -= 1;
        onEnd();
        this.start();
      });
    }
  }
}
