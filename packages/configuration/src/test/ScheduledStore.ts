import { StoreUnavailableError } from '@apricotrill/store';
import type {
  ObjectStore,
  PlatformStore,
  PutResult,
  StoreChange,
  StoredObject,
} from '@apricotrill/store';
import type { Scheduler } from 'fast-check';

/** What happens to one call between the client and the store. */
export type CallOutcome =
  | 'answered'
  /** The call never arrives. */
  | 'not-delivered'
  /** The call takes effect, and its response is lost. */
  | 'answer-lost'
  /** The caller times out first; the call may still take effect much later. */
  | 'late'
  /** The call is delivered a second time at any later time. */
  | 'duplicated';

/**
 * The platform's store behind a simulated network. The scheduler of the test decides when each call
 * and each response arrives.
 */
export class ScheduledStore implements PlatformStore {
  /**
   * @param objects - the content of the store
   * @param getNextOutcome - called once for each call
   * @param onEffect - called right after a call reached the store
   */
  constructor(
    private readonly objects: ObjectStore,
    private readonly scheduler: Scheduler,
    private readonly getNextOutcome: () => CallOutcome,
    private readonly onEffect: () => void,
  ) {}

  get(key: string): Promise<StoredObject | undefined> {
    return this.call(`get ${key}`, () => this.objects.get(key));
  }

  list(prefix: string): Promise<StoredObject[]> {
    return this.call(`list ${prefix}`, () => this.objects.list(prefix));
  }

  put(key: string, value: string, expectedVersion: number): Promise<PutResult> {
    return this.call(`put ${key} at ${expectedVersion}`, () =>
      this.objects.put(key, value, expectedVersion),
    );
  }

  delete(key: string, expectedVersion: number): Promise<PutResult> {
    return this.call(`delete ${key} at ${expectedVersion}`, () =>
      this.objects.delete(key, expectedVersion),
    );
  }

  watch(): Promise<StoreChange[]> {
    return this.call('watch', () => []);
  }

  private async call<Value>(label: string, run: () => Value): Promise<Value> {
    const deliver = async () => {
      await this.scheduler.schedule(Promise.resolve(), `${label} arrives`);
      const value = run();
      this.onEffect();
      return value;
    };
    const outcome = this.getNextOutcome();
    if (outcome === 'not-delivered') {
      throw await this.createTimeoutError(label);
    }
    if (outcome === 'late') {
      // eslint-disable-next-line no-void -- not awaited; its effect is observed by `onEffect`
      void deliver();
      throw await this.createTimeoutError(label);
    }
    const value = await deliver();
    if (outcome === 'duplicated') {
      // eslint-disable-next-line no-void -- not awaited; its effect is observed by `onEffect`
      void deliver();
    }
    if (outcome === 'answer-lost') {
      throw await this.createTimeoutError(label);
    }
    await this.scheduler.schedule(Promise.resolve(), `${label} is answered`);
    return value;
  }

  private async createTimeoutError(label: string): Promise<StoreUnavailableError> {
    await this.scheduler.schedule(Promise.resolve(), `${label} times out`);
    return new StoreUnavailableError('no response', { step: label, peer: 'scheduled store' });
  }
}
