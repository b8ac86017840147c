import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { Instance } from '../InstanceList.js';
import { LaggedValue } from '../LaggedValue/LaggedValue.js';

/**
 * The platform's list of instances, which shows each change only after a lag.
 *
 * @example
 * ```ts
 * const directory = new InstanceDirectory(clock, 2_000);
 * directory.set({ ...instance, state: InstanceState.Leaving });
 * ```
 * @public
 */
export class InstanceDirectory {
  private readonly instances: LaggedValue<readonly Instance[]>;

  /** @param lag - how far the list lags behind the actual state, in milliseconds */
  constructor(clock: Clock, lag: Milliseconds = 0) {
    this.instances = new LaggedValue<readonly Instance[]>(clock, lag, []);
  }

  /** Adds an instance, or replaces the one with its id. */
  set(instance: Instance): void {
    this.instances.set([...this.getOthers(instance.id), instance]);
  }

  remove(id: string): void {
    this.instances.set(this.getOthers(id));
  }

  setLag(lag: Milliseconds): void {
    this.instances.setLag(lag);
  }

  /** The list as the platform currently reports it. */
  getInstances(): Instance[] {
    return [...this.instances.get().value];
  }

  private getOthers(id: string): Instance[] {
    return this.instances.getCurrent().filter((instance) => instance.id !== id);
  }
}
