import { exhaustiveSwitchError } from '@apricotrill/utils';

/**
 * A fault of an engine or a plain service, as injected by tests.
 *
 * @public
 */
export type BackendFault =
  /** The process exits immediately, whatever it is doing. */
  | { kind: 'crash' }
  /** Connections stay open, and nothing more is sent on any of them. */
  | { kind: 'stall' }
  | { kind: 'unstall' }
  /** Connections that are open now go silent permanently; new ones work. */
  | { kind: 'silence-connections' }
  /** Everything takes `factor` times as long; 1 ends the fault. */
  | { kind: 'slow'; factor: number }
  /**
   * The next `count` requests run, and their connections break after `tokens` tokens; at a plain
   * service, before the response.
   */
  | { kind: 'drop-after'; tokens: number; count: number }
  /** The next `count` responses contain a part of the response to another request. */
  | { kind: 'stray-answers'; count: number }
  /** New requests are refused with the information that the replica is leaving. */
  | { kind: 'leave' }
  | { kind: 'stay' }
  /** The next `count` requests are refused and do not run. */
  | { kind: 'refuse'; count: number };

/** The faults that the owner of the injector implements itself. */
export interface BackendFaultActions {
  crash: () => void;
  stall: () => void;
  unstall: () => void;
  silenceConnections: () => void;
  slow: (factor: number) => void;
}

/** Holds the faults that are active at a backend server. */
export class BackendFaultInjector {
  private remainingRefusals = 0;

  private remainingDrops = { count: 0, tokens: 0 };

  private remainingStrayAnswers = 0;

  private leaving = false;

  private currentStall: { over: Promise<void>; end: () => void } | undefined;

  constructor(private readonly actions: BackendFaultActions) {}

  apply(fault: BackendFault): void {
    switch (fault.kind) {
      case 'crash':
        this.actions.crash();
        break;
      case 'stall':
        this.stall();
        break;
      case 'unstall':
        this.unstall();
        break;
      case 'silence-connections':
        this.actions.silenceConnections();
        break;
      case 'slow':
        this.actions.slow(fault.factor);
        break;
      case 'drop-after':
        this.remainingDrops = { count: fault.count, tokens: fault.tokens };
        break;
      case 'stray-answers':
        this.remainingStrayAnswers = fault.count;
        break;
      case 'leave':
        this.leaving = true;
        break;
      case 'stay':
        this.leaving = false;
        break;
      case 'refuse':
        this.remainingRefusals = fault.count;
        break;
      default:
        throw exhaustiveSwitchError(fault);
    }
  }

  isLeaving(): boolean {
    return this.leaving;
  }

  /** Resolves at once, or when the current stall is over. */
  async waitWhileStalled(): Promise<void> {
    await this.currentStall?.over;
  }

  consumeRefusal(): boolean {
    const refused = this.remainingRefusals > 0;
    this.remainingRefusals -= refused ? 1 : 0;
    return refused;
  }

  consumeStrayAnswer(): boolean {
    const stray = this.remainingStrayAnswers > 0;
    this.remainingStrayAnswers -= stray ? 1 : 0;
    return stray;
  }

  /** @returns after how many tokens the connection of a new request breaks, if it does */
  consumeDrop(): number | undefined {
    if (this.remainingDrops.count === 0) {
      return undefined;
    }
    this.remainingDrops.count -= 1;
    return this.remainingDrops.tokens;
  }

  private stall(): void {
    if (this.currentStall === undefined) {
      let end = () => {};
      const over = new Promise<void>((resolve) => {
        end = resolve;
      });
      this.currentStall = { over, end };
      this.actions.stall();
    }
  }

  private unstall(): void {
    if (this.currentStall !== undefined) {
      this.currentStall.end();
      this.currentStall = undefined;
      this.actions.unstall();
    }
  }
}
