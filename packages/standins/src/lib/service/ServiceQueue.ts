import { LaggedValue } from '@apricotrill/store';
import type { TimestampedValue } from '@apricotrill/store';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/** How busy a plain service is. */
export interface ServiceLoad {
  running: number;
  waiting: number;
}

interface QueuedCall {
  onStart: () => void;
  onEnd: () => void;
}

/** Runs calls of equal duration with limited concurrency; the others wait in order of arrival. */
export class ServiceQueue {
  private readonly waiting: QueuedCall[] = [];

  private readonly timers = new Set<Timer>();

  private readonly load: LaggedValue<ServiceLoad>;

  private slowFactor = 1;

  /**
   * @param options - how many calls run at once, how long each takes, and by how much the reported
   *   load lags
   */
  constructor(
    private readonly clock: Clock,
    private readonly options: { slots: number; delay: Milliseconds; loadLag: Milliseconds },
  ) {
    this.load = new LaggedValue(clock, options.loadLag, { running: 0, waiting: 0 });
  }

  /** Enqueues a call; `onStart` runs when it gets a slot, `onEnd` when it has finished. */
  submit(call: QueuedCall): void {
    this.waiting.push(call);
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

  private start(call: QueuedCall): void {
    const timer = this.clock.setTimer(this.options.delay * this.slowFactor, () => {
      this.timers.delete(timer);
      call.onEnd();
      this.fillSlots();
    });
    this.timers.add(timer);
    call.onStart();
  }
}
