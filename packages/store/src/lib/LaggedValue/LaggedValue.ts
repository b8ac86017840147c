import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * A value and the time at which it was valid.
 *
 * @public
 */
export interface TimestampedValue<Value> {
  value: Value;
  measuredAt: Milliseconds;
}

/**
 * A value that readers see only some time after it was set, like a load report or the platform's
 * list of instances.
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
   * @param lag - how long a new value stays hidden, in milliseconds
   * @param initial - what readers see until the first value that is set becomes visible
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
    this.removeExpiredReadings();
    this.readings.push({ value, measuredAt: this.clock.now() });
  }

  setLag(lag: Milliseconds): void {
    this.removeExpiredReadings();
    this.lag = lag;
  }

  /** The newest value that is at least `lag` old, with the latest time at which it was valid. */
  get(): TimestampedValue<Value> {
    this.removeExpiredReadings();
    const { value, measuredAt } = this.readings[0]!;
    return { value, measuredAt: Math.max(measuredAt, this.clock.now() - this.lag) };
  }

  /** The current value without the lag, for the code that sets it. */
  getCurrent(): Value {
    return this.readings[this.readings.length - 1]!.value;
  }

  private removeExpiredReadings(): void {
    const visibleFrom = this.clock.now() - this.lag;
    let firstHiddenIndex = 1;
    while (
      firstHiddenIndex < this.readings.length &&
      this.readings[firstHiddenIndex]!.measuredAt <= visibleFrom
    ) {
      firstHiddenIndex += 1;
    }
    this.readings.splice(0, firstHiddenIndex - 1);
  }
}
