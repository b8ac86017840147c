import { LaggedValue } from '@apricotrill/store';
import type { TimestampedValue } from '@apricotrill/store';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/** How busy a plain service is. */
export interface ServiceLoad {
  running: number;
  waiting: number;
}

interface Work {
  onStart: () => void;
  onEnd: () => void;
}

/** Runs calls of equal length, a limited number at once, the rest in order of arrival. */
export class ServiceQueue {
  private readonly waiting: Work[] = [];

  private readonly timers = new Set<Timer>();

  private readonly load: LaggedValue<ServiceLoad>;

  private slowFactor = 1;

  /**
   * @param options - how many calls run at once, how long each takes, how far the reported load
   *   stays behind
   */
  constructor(
    private readonly clock: Clock,
    private readonly options: { slots: number; delay: Milliseconds; loadLag: Milliseconds },
  ) {
    this.load = new LaggedValue(clock, options.loadLag, { running: 0, waiting: 0 });
  }

  /** Takes a call; `onStart` runs when it gets a slot, `onEnd` when it is through. */
  submit(work: Work): void {
    this.waiting.push(work);
    this.fillSlots();
  }

  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  getLoad(): ServiceLoad {
    return { running: this.timers.size, waiting: this.waiting.length };
  }

  getReportedLoad(): TimestampedValue<ServiceLoad> {
    return this.load.get();
  }

  dispose(): void {
    this.waiting.length = 0;
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }

  private fillSlots(): void {
    while (this.timers.size < this.options.slots && this.waiting.length > 0) {
      this.start(this.waiting.shift()!);
    }
    this.load.set(this.getLoad());
  }

  private start(work: Work): void {
    const timer = this.clock.setTimer(this.options.delay * this.slowFactor, () => {
      this.timers.delete(timer);
      work.onEnd();
      this.fillSlots();
    });
    this.timers.add(timer);
    work.onStart();
  }
}
