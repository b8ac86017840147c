import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * A way for the platform to fail, as tests ask for it.
 *
 * @public
 */
export type StoreFault =
  /** Every call fails at once, waiting watches too. */
  | { kind: 'down' }
  /** Ends `down`, `slow` and `silent-watches`, and forgets answers still to be lost. */
  | { kind: 'up' }
  /** Every answer comes this much later; writes take effect on arrival. */
  | { kind: 'slow'; delayMs: Milliseconds }
  /** The next writes under the prefix take effect, and their answers are lost. */
  | { kind: 'lose-answers'; count: number; keyPrefix?: string }
  /** The next writes under the prefix are answered by nothing and take effect only later. */
  | { kind: 'late-writes'; count: number; delayMs: Milliseconds; keyPrefix?: string }
  /** Watches are taken and never answered. */
  | { kind: 'silent-watches' }
  /** Connections open now go silent for good; new ones work. Over HTTP only. */
  | { kind: 'silence-connections' }
  /** How long the list of instances stays behind the truth. */
  | { kind: 'list-lag'; lagMs: Milliseconds };

/** What is to become of one write. */
export type WriteOutcome =
  { kind: 'answered' } | { kind: 'answer-lost' } | { kind: 'late'; delayMs: Milliseconds };

interface PendingWriteFault {
  left: number;
  keyPrefix: string;
  fate: WriteOutcome;
}

/**
 * Which faults the platform shows at the moment. Keeps state only; whoever serves calls asks it.
 *
 * @example
 * ```ts
 * faults.apply({ kind: 'lose-answers', count: 1, keyPrefix: 'config/' });
 * faults.takeWriteFate('config/manifest'); // { kind: 'answer-lost' }
 * ```
 * @public
 */
export class StoreFaultInjector {
  private down = false;

  private silentWatches = false;

  private delay: Milliseconds = 0;

  private pending: PendingWriteFault[] = [];

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
        // Carried out by whoever holds the connections, or the list.
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

  /** How much later each answer comes. */
  getDelay(): Milliseconds {
    return this.delay;
  }

  /** Decides on a write to the key; uses up one of the faults asked for. */
  consumeWriteOutcome(key: string): WriteOutcome {
    const fault = this.pending.find(({ left, keyPrefix }) => left > 0 && key.startsWith(keyPrefix));
    if (fault === undefined) {
      return { kind: 'answered' };
    }
    fault.left -= 1;
    return fault.fate;
  }

  private reset(): void {
    this.down = false;
    this.silentWatches = false;
    this.delay = 0;
    this.pending = [];
  }

  private addWriteFault(fault: { count: number; keyPrefix?: string }, fate: WriteOutcome): void {
    this.pending.push({ left: fault.count, keyPrefix: fault.keyPrefix ?? '', fate });
  }
}
