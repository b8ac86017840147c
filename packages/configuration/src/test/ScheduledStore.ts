import { StoreUnavailableError } from '@apricotrill/store';
import type {
  ObjectStore,
  PlatformStore,
  PutResult,
  StoreChange,
  StoredObject,
} from '@apricotrill/store';
import type { Scheduler } from 'fast-check';

/** What becomes of one call on its way to the store and back. */
export type CallFate =
  | 'answered'
  /** It never arrives. */
  | 'not-delivered'
  /** It takes effect; its answer is lost. */
  | 'answer-lost'
  /** The caller gives up first; it may still take effect much later. */
  | 'late'
  /** It is delivered a second time, any time later. */
  | 'duplicated';

/**
 * The platform's store behind a network that the scheduler of a test controls: it decides when each
 * call arrives and when each answer does.
 */
export class ScheduledStore implements PlatformStore {
  /**
   * @param objects - what the store holds
   * @param takeFate - asked once for each call
   * @param onEffect - told right after a call arrived at the store
   */
  constructor(
    private readonly objects: ObjectStore,
    private readonly scheduler: Scheduler,
    private readonly takeFate: () => CallFate,
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

  private async call<Answer>(label: string, run: () => Answer): Promise<Answer> {
    const arrive = async () => {
      await this.scheduler.schedule(Promise.resolve(), `${label} arrives`);
      const answer = run();
      this.onEffect();
      return answer;
    };
    const fate = this.takeFate();
    if (fate === 'not-delivered') {
      throw await this.getTimeout(label);
    }
    if (fate === 'late') {
      // eslint-disable-next-line no-void -- nobody waits for it; the oracle sees its effect
      void arrive();
      throw await this.getTimeout(label);
    }
    const answer = await arrive();
    if (fate === 'duplicated') {
      // eslint-disable-next-line no-void -- nobody waits for it; the oracle sees its effect
      void arrive();
    }
    if (fate === 'answer-lost') {
      throw await this.getTimeout(label);
    }
    await this.scheduler.schedule(Promise.resolve(), `${label} is answered`);
    return answer;
  }

  private async getTimeout(label: string): Promise<StoreUnavailableError> {
    await this.scheduler.schedule(Promise.resolve(), `${label} times out`);
    return new StoreUnavailableError('no answer', { step: label, peer: 'scheduled store' });
  }
}
