import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * A fault of the platform that tests can inject.
 *
 * @public
 */
export type StoreFault =
  /** Every call fails immediately, including waiting watches. */
  | { kind: 'down' }
  /** Ends `down`, `slow` and `silent-watches`, and clears pending write faults. */
  | { kind: 'up' }
  /** Every response is delayed; writes still take effect on arrival. */
  | { kind: 'slow'; delayMs: Milliseconds }
  /** The next writes under the prefix take effect, but their responses are lost. */
  | { kind: 'lose-answers'; count: number; keyPrefix?: string }
  /** The next writes under the prefix get no response and take effect only later. */
  | { kind: 'late-writes'; count: number; delayMs: Milliseconds; keyPrefix?: string }
  /** Watches are accepted and never get a response. */
  | { kind: 'silent-watches' }
  /** Connections that are open now stay silent forever; new ones work. Over HTTP only. */
  | { kind: 'silence-connections' }
  /** Sets how far the list of instances lags behind the actual state. */
  | { kind: 'list-lag'; lagMs: Milliseconds };

/** What happens to one write. */
export type WriteOutcome =
  { kind: 'answered' } | { kind: 'answer-lost' } | { kind: 'late'; delayMs: Milliseconds };

interface PendingWriteFault {
  remaining: number;
  keyPrefix: string;
  outcome: WriteOutcome;
}

/**
 * The currently injected faults of the platform. Keeps state only; the store that serves the calls
 * queries it.
 *
 * @example
 * ```ts
 * faults.apply({ kind: 'lose-answers', count: 1, keyPrefix: 'config/' });
 * faults.consumeWriteOutcome('config/manifest'); // { kind: 'answer-lost' }
 * ```
 * @public
 */
export class StoreFaultInjector {
  private down = false;

  private silentWatches = false;

  private delay: Milliseconds = 0;

  private pendingWriteFaults: PendingWriteFault[] = [];

  apply(fault: StoreFault): void {
    switch (fault.kind) {
      case 'down':
        this.down = true;
        break;
      case 'up':
        this.reset();
        break;
      case 'slow':
        this.delay = fault.delayMs;
        break;
      case 'lose-answers':
        this.addWriteFault(fault, { kind: 'answer-lost' });
        break;
      case 'late-writes':
        this.addWriteFault(fault, { kind: 'late', delayMs: fault.delayMs });
        break;
      case 'silent-watches':
        this.silentWatches = true;
        break;
      case 'silence-connections':
      case 'list-lag':
        // Handled by the owner of the connections or of the list.
        break;
      default:
        throw exhaustiveSwitchError(fault);
    }
  }

  isDown(): boolean {
    return this.down;
  }

  hasSilentWatches(): boolean {
    return this.silentWatches;
  }

  /** The additional delay of each response. */
  getDelay(): Milliseconds {
    return this.delay;
  }

  /** The outcome of a write to the key; consumes one pending fault that matches. */
  consumeWriteOutcome(key: string): WriteOutcome {
    const fault = this.pendingWriteFaults.find(
      ({ remaining, keyPrefix }) => remaining > 0 && key.startsWith(keyPrefix),
    );
    if (fault === undefined) {
      return { kind: 'answered' };
    }
    fault.remaining -= 1;
    return fault.outcome;
  }

  private reset(): void {
    this.down = false;
    this.silentWatches = false;
    this.delay = 0;
    this.pendingWriteFaults = [];
  }

  private addWriteFault(fault: { count: number; keyPrefix?: string }, outcome: WriteOutcome): void {
    this.pendingWriteFaults.push({
      remaining: fault.count,
      keyPrefix: fault.keyPrefix ?? '',
      outcome,
    });
  }
}
