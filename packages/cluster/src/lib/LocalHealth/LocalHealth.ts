import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent } from '../CoreContext.js';

/** If fewer peers were tried, responses of the platform can also show that the network works. */
const MIN_PEER_SAMPLE = 3;

interface ContactResult {
  succeeded: boolean;
  at: Milliseconds;
}

/**
 * Records the recent results of this daemon's own contacts with peers, and derives whether its own
 * network works. To a daemon whose network is broken all peers seem dead, which would empty its
 * view. So if most of the peers tried did not respond, it considers itself cut off: it suspects
 * nobody, keeps its last view and continues to probe.
 */
export class LocalHealth {
  private readonly lastResults = new Map<string, ContactResult>();

  private platformRespondedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private cutOff = false;

  /** @param onChange - called when `isCutOff` changes */
  constructor(
    private readonly context: CoreContext,
    private readonly onChange: () => void,
  ) {}

  /** Whether this daemon considers its own network at fault. */
  get isCutOff(): boolean {
    return this.cutOff;
  }

  /** Whether some peer did not respond within the window. */
  hasFailures(): boolean {
    return this.countRecentResults().failed > 0;
  }

  /** Whether a peer did not respond when last contacted. */
  hasFailed(peer: string): boolean {
    return this.lastResults.get(peer)?.succeeded === false;
  }

  recordPeerResult(peer: string, succeeded: boolean): void {
    this.lastResults.set(peer, { succeeded, at: this.context.clock.now() });
    this.update();
  }

  /** Records that the platform responded to a call. */
  recordPlatformResponse(): void {
    this.platformRespondedAt = this.context.clock.now();
    this.update();
  }

  /** Forgets a peer that is known to be gone, so that its silence no longer counts. */
  forget(peer: string): void {
    if (this.lastResults.delete(peer)) {
      this.update();
    }
  }

  /**
   * Whether another peer or the platform responded since then, which proves that the network works.
   */
  hasOtherResponse(peer: string, since: Milliseconds): boolean {
    const hasPeerResponse = [...this.lastResults].some(
      ([other, { succeeded, at }]) => other !== peer && succeeded && at >= since,
    );
    return hasPeerResponse || this.platformRespondedAt >= since;
  }

  private update(): void {
    const { tried, failed, firstFailure } = this.countRecentResults();
    const isPlatformReachable = tried < MIN_PEER_SAMPLE && this.platformRespondedAt >= firstFailure;
    const isCutOff = failed * 2 > tried && !isPlatformReachable;
    if (isCutOff !== this.cutOff) {
      this.cutOff = isCutOff;
      emitEvent(this.context, { kind: isCutOff ? 'cut-off' : 'reconnected', tried, failed });
      this.onChange();
    }
  }

  private countRecentResults() {
    const { clock, options } = this.context;
    const oldest = clock.now() - options.localHealthWindow;
    let tried = 0;
    let failed = 0;
    let firstFailure = Number.POSITIVE_INFINITY;
    this.lastResults.forEach(({ succeeded, at }, peer) => {
      if (at < oldest) {
        this.lastResults.delete(peer);
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
