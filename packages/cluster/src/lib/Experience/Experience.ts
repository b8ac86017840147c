import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { decide } from '../CoreContext.js';

/** With fewer peers tried than this, the platform's answers can speak for the own network. */
const TELLING_SAMPLE = 3;

interface Outcome {
  succeeded: boolean;
  at: Milliseconds;
}

/**
 * What this daemon itself lived through with its peers lately, and what follows for its own
 * network. A daemon whose network is broken finds that nobody answers; taken for the truth, that
 * would empty its view. So when most peers tried give no answer it concludes that it is cut off:
 * it suspects nobody, keeps its last view and goes on trying.
 */
export class Experience {
  private readonly outcomes = new Map<string, Outcome>();

  private platformAnsweredAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private cutOff = false;

  /** @param onChange - told when this daemon finds itself cut off, or no longer */
  constructor(
    private readonly context: CoreContext,
    private readonly onChange: () => void,
  ) {}

  /** Whether this daemon's own network is at fault, as far as it can tell. */
  get isCutOff(): boolean {
    return this.cutOff;
  }

  /** Whether some peer did not answer lately. */
  hasFailures(): boolean {
    return this.count().failed > 0;
  }

  /** Whether a peer failed the last time it was tried, lately. */
  hasFailed(peer: string): boolean {
    return this.outcomes.get(peer)?.succeeded === false;
  }

  record(peer: string, succeeded: boolean): void {
    this.outcomes.set(peer, { succeeded, at: this.context.clock.now() });
    this.judge();
  }

  /** The platform answered a call. */
  recordPlatform(): void {
    this.platformAnsweredAt = this.context.clock.now();
    this.judge();
  }

  /** Forgets a peer: it is known to be gone, so its silence says nothing more. */
  forget(peer: string): void {
    if (this.outcomes.delete(peer)) {
      this.judge();
    }
  }

  /** Whether anybody else answered since then: proof that the own network works. */
  hasOtherAnswer(peer: string, since: Milliseconds): boolean {
    const hasPeer = [...this.outcomes].some(
      ([other, { succeeded, at }]) => other !== peer && succeeded && at >= since,
    );
    return hasPeer || this.platformAnsweredAt >= since;
  }

  private judge(): void {
    const { tried, failed, firstFailure } = this.count();
    const canPlatformTell = tried < TELLING_SAMPLE && this.platformAnsweredAt >= firstFailure;
    const isCutOff = failed * 2 > tried && !canPlatformTell;
    if (isCutOff !== this.cutOff) {
      this.cutOff = isCutOff;
      decide(this.context, { kind: isCutOff ? 'cut-off' : 'reconnected', tried, failed });
      this.onChange();
    }
  }

  private count() {
    const { clock, options } = this.context;
    const oldest = clock.now() - options.experienceWindow;
    let tried = 0;
    let failed = 0;
    let firstFailure = Number.POSITIVE_INFINITY;
    this.outcomes.forEach(({ succeeded, at }, peer) => {
      if (at < oldest) {
        this.outcomes.delete(peer);
        return;
      }
      tried += 1;
      if (!succeeded) {
        failed += 1;
        firstFailure = Math.min(firstFailure, at);
      }
    });
    return { tried, failed, firstFailure };
  }
}
