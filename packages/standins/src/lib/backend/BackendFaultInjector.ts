import { exhaustiveSwitchError } from '@apricotrill/utils';

/**
 * A way for an engine or a plain service to fail, as tests ask for it.
 *
 * @public
 */
export type BackendFault =
  /** The process ends at once, in the middle of whatever it does. */
  | { kind: 'crash' }
  /** Connections stay open, and nothing more is sent on any. */
  | { kind: 'stall' }
  | { kind: 'unstall' }
  /** Connections open now go silent for good; new ones work. */
  | { kind: 'silence-connections' }
  /** Everything takes `factor` times as long; 1 ends it. */
  | { kind: 'slow'; factor: number }
  /**
   * The next `count` requests run, and their connection breaks after that many tokens; at a plain
   * service, before the answer.
   */
  | { kind: 'drop-after'; tokens: number; count: number }
  /** The next `count` answers carry a piece of another request's answer. */
  | { kind: 'stray-answers'; count: number }
  /** New requests are refused, with the word that the replica is leaving. */
  | { kind: 'leave' }
  | { kind: 'stay' }
  /** The next `count` requests are refused and do not run. */
  | { kind: 'refuse'; count: number };

/** What the owner of the faults does for those it must carry out itself. */
export interface BackendFaultActions {
  crash: () => void;
  stall: () => void;
  unstall: () => void;
  silenceConnections: () => void;
  slow: (factor: number) => void;
}

/** Which faults a backend server shows at the moment. */
export class BackendFaultInjector {
  private refusals = 0;

  private drops = { count: 0, tokens: 0 };

  private strays = 0;

  private leaving = false;

  private stalled: { over: Promise<void>; end: () => void } | undefined;

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
        this.drops = { count: fault.count, tokens: fault.tokens };
        break;
      case 'stray-answers':
        this.strays = fault.count;
        break;
      case 'leave':
        this.leaving = true;
        break;
      case 'stay':
        this.leaving = false;
        break;
      case 'refuse':
        this.refusals = fault.count;
        break;
      default:
        throw exhaustiveSwitchError(fault);
    }
  }

  isLeaving(): boolean {
    return this.leaving;
  }

  /** Resolves at once, or when a stall is over. */
  async whenNotStalled(): Promise<void> {
    await this.stalled?.over;
  }

  takeRefusal(): boolean {
    const refused = this.refusals > 0;
    this.refusals -= refused ? 1 : 0;
    return refused;
  }

  takeStray(): boolean {
    const stray = this.strays > 0;
    this.strays -= stray ? 1 : 0;
    return stray;
  }

  /** @returns after how many tokens the connection of a new request breaks, if it is to break */
  takeDrop(): number | undefined {
    if (this.drops.count === 0) {
      return undefined;
    }
    this.drops.count -= 1;
    return this.drops.tokens;
  }

  private stall(): void {
    if (this.stalled === undefined) {
      let end = () => {};
      const over = new Promise<void>((resolve) => {
        end = resolve;
      });
      this.stalled = { over, end };
      this.actions.stall();
    }
  }

  private unstall(): void {
    if (this.stalled !== undefined) {
      this.stalled.end();
      this.stalled = undefined;
      this.actions.unstall();
    }
  }
}
