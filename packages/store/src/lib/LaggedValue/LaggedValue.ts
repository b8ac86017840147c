import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * A value and the time it was true.
 *
 * @public
 */
export interface TimestampedValue<Value> {
  value: Value;
  measuredAt: Milliseconds;
}

/**
 * A value that its readers see only some time after it was set, as with load reports and the
 * platform's list of instances.
 *
 * @example
 * ```ts
 * const load = new LaggedValue(clock, 200, { running: 0 });
 * load.set({ running: 1 });
 * load.get().value.running; // 0 for the next 200 ms
 * ```
 * @public
 */
export class LaggedValue<Value> {
  private readonly readings: TimestampedValue<Value>[];

  private lag: Milliseconds;

  /**
   * @param clock - where time comes from
   * @param lag - how long a new value stays hidden, in milliseconds
   * @param initial - what readers see until the first value set becomes visible
   */
  constructor(
    private readonly clock: Clock,
    lag: Milliseconds,
    initial: Value,
  ) {
    this.lag = lag;
    this.readings = [{ value: initial, measuredAt: clock.now() }];
  }

  set(value: Value): void {
    this.forgetOldReadings();
    this.readings.push({ value, measuredAt: this.clock.now() });
  }

  setLag(lag: Milliseconds): void {
    this.forgetOldReadings();
    this.lag = lag;
  }

  /** The newest value that is at least `lag` old, with the time at which it still held. */
  get(): TimestampedValue<Value> {
    this.forgetOldReadings();
    const { value, measuredAt } = this.readings[0]!;
    return { value, measuredAt: Math.max(measuredAt, this.clock.now() - this.lag) };
  }

  /** The value as it is now, for whoever set it. */
  getCurrent(): Value {
    return this.readings[this.readings.length - 1]!.value;
  }

  private forgetOldReadings(): void {
    const visibleFrom = this.clock.now() - this.lag;
    let hidden = 1;
    while (hidden < this.readings.length && this.readings[hidden]!.measuredAt <= visibleFrom) {
      hidden += 1;
    }
    this.readings.splice(0, hidden - 1);
  }
}
