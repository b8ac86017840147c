import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { decide } from '../CoreContext.js';

interface Penalty {
  value: number;
  at: Milliseconds;
  /** Set while the member is damped. */
  reuse: Timer | undefined;
}

/** What a return from the dead counts; a refuted suspicion counts half. */
export const RETURN_PENALTY = 1;
export const REFUTATION_PENALTY = 0.5;

/** A penalty below this is forgotten. */
const FORGOTTEN = 0.05;

/**
 * Damps flapping as routers do with routes (RFC 2439): each return adds to a member's penalty,
 * which halves over time. Without it, duties follow a member that comes and goes, back and forth,
 * and each move costs everybody.
 */
export class FlapDamper {
  private readonly penalties = new Map<string, Penalty>();

  /** @param onChange - told when a member becomes damped or is no longer */
  constructor(
    private readonly context: CoreContext,
    private readonly onChange: () => void,
  ) {}

  isDamped(member: string): boolean {
    return this.penalties.get(member)?.reuse !== undefined;
  }

  /** Adds to a member's penalty. */
  add(member: string, amount: number): void {
    const { clock, options } = this.context;
    const value = this.getValue(member) + amount;
    const { reuse } = this.penalties.get(member) ?? { reuse: undefined };
    this.penalties.set(member, { value, at: clock.now(), reuse });
    if (reuse === undefined && value <= options.flapSuppress) {
      this.forgetOld();
      return;
    }
    reuse?.cancel();
    this.damp(member, value, reuse === undefined);
  }

  dispose(): void {
    this.penalties.forEach(({ reuse }) => reuse?.cancel());
    this.penalties.clear();
  }

  private damp(member: string, value: number, isNew: boolean): void {
    const { clock, options } = this.context;
    const wait = options.flapHalfLife * Math.log2(value / options.flapReuse);
    const reuse = clock.setTimer(wait, () => this.release(member));
    this.penalties.set(member, { value, at: clock.now(), reuse });
    if (isNew) {
      decide(this.context, { kind: 'member-damped', member, penalty: value });
      this.onChange();
    }
  }

  private release(member: string): void {
    const value = this.getValue(member);
    this.penalties.set(member, { value, at: this.context.clock.now(), reuse: undefined });
    decide(this.context, { kind: 'member-undamped', member });
    this.onChange();
  }

  private getValue(member: string): number {
    const penalty = this.penalties.get(member);
    if (penalty === undefined) {
      return 0;
    }
    const { clock, options } = this.context;
    return penalty.value * 0.5 ** ((clock.now() - penalty.at) / options.flapHalfLife);
  }

  private forgetOld(): void {
    this.penalties.forEach(({ reuse }, member) => {
      if (reuse === undefined && this.getValue(member) < FORGOTTEN) {
        this.penalties.delete(member);
      }
    });
  }
}
