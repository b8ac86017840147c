import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent } from '../CoreContext.js';

interface Penalty {
  value: number;
  updatedAt: Milliseconds;
  /** Ends the damping; set while the member is damped. */
  reuseTimer: Timer | undefined;
}

/** Penalty for a new incarnation or a return after death; a refuted suspicion costs half. */
export const RETURN_PENALTY = 1;
export const REFUTATION_PENALTY = 0.5;

/** Penalties that have decayed below this are evicted. */
const MIN_PENALTY = 0.05;

/**
 * Flap damping as for BGP routes (RFC 2439): each return adds to a member's penalty, which decays
 * exponentially. Without it, duties would move back and forth with an unstable member, and each move
 * is a cost to all daemons.
 */
export class FlapDamper {
  private readonly penalties = new Map<string, Penalty>();

  /** @param onChange - called when a member becomes damped or stops being damped */
  constructor(
    private readonly context: CoreContext,
    private readonly onChange: () => void,
  ) {}

  isDamped(member: string): boolean {
    return this.penalties.get(member)?.reuseTimer !== undefined;
  }

  /** Adds to a member's penalty, and damps it above the suppress threshold. */
  addPenalty(member: string, amount: number): void {
    const { clock, options } = this.context;
    const value = this.getPenalty(member) + amount;
    const { reuseTimer } = this.penalties.get(member) ?? { reuseTimer: undefined };
    this.penalties.set(member, { value, updatedAt: clock.now(), reuseTimer });
    if (reuseTimer === undefined && value <= options.flapSuppressThreshold) {
      this.evictDecayed();
      return;
    }
    reuseTimer?.cancel();
    this.damp(member, value, reuseTimer === undefined);
  }

  dispose(): void {
    this.penalties.forEach(({ reuseTimer }) => reuseTimer?.cancel());
    this.penalties.clear();
  }

  private damp(member: string, value: number, isNew: boolean): void {
    const { clock, options } = this.context;
    const delay = options.flapHalfLife * Math.log2(value / options.flapReuseThreshold);
    const reuseTimer = clock.setTimer(delay, () => this.undamp(member));
    this.penalties.set(member, { value, updatedAt: clock.now(), reuseTimer });
    if (isNew) {
      emitEvent(this.context, { kind: 'member-damped', member, penalty: value });
      this.onChange();
    }
  }

  private undamp(member: string): void {
    const value = this.getPenalty(member);
    this.penalties.set(member, {
      value,
      updatedAt: this.context.clock.now(),
      reuseTimer: undefined,
    });
    emitEvent(this.context, { kind: 'member-undamped', member });
    this.onChange();
  }

  private getPenalty(member: string): number {
    const penalty = this.penalties.get(member);
    if (penalty === undefined) {
      return 0;
    }
    const { clock, options } = this.context;
    return penalty.value * 0.5 ** ((clock.now() - penalty.updatedAt) / options.flapHalfLife);
  }

  private evictDecayed(): void {
    this.penalties.forEach(({ reuseTimer }, member) => {
      if (reuseTimer === undefined && this.getPenalty(member) < MIN_PENALTY) {
        this.penalties.delete(member);
      }
    });
  }
}
