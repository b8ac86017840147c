import type { ServiceDemand } from '@apricotrill/duties';
import type { Milliseconds } from '@apricotrill/utils';

const MILLISECONDS_PER_SECOND = 1_000;

/** Period over which demand is measured. */
const DEMAND_WINDOW: Milliseconds = 2_000;

/** A request that was sent to a replica. */
interface SentPrompt {
  tokens: number;
  at: Milliseconds;
}

/** A request that was refused because the replicas had no room for it. */
export interface RefusedPrompt {
  /** Identical for repeated requests with the same content from the same caller. */
  fingerprint: string;
  /** Tokens of the whole prompt, since it is not known what an engine would have had cached. */
  inputTokens: number;
}

interface ServiceCounts {
  sent: SentPrompt[];
  /** When each refused request was refused last, by its fingerprint. */
  refused: Map<string, { inputTokens: number; at: Milliseconds }>;
  running: number;
}

/**
 * Measures the demand of this daemon's callers for each service: what it sends, and what it refuses.
 *
 * Load pattern: more requests than the replicas can serve. Those that are refused are never sent, so that
 * the demand would seem to be what the replicas serve, and no replicas would be ordered for the rest. A
 * caller that returns after a refusal asks for the same work again, and is counted once.
 */
export class DemandCounter {
  private readonly services = new Map<string, ServiceCounts>();

  /** @param tokens - prompt tokens that the engine has to compute */
  recordSent(service: string, tokens: number, now: Milliseconds): void {
    const counts = this.getCounts(service);
    counts.running += 1;
    counts.sent.push({ tokens, at: now });
  }

  /** Records a request that was refused because the replicas had no room. */
  recordRefused(service: string, { fingerprint, inputTokens }: RefusedPrompt, now: Milliseconds) {
    this.getCounts(service).refused.set(fingerprint, { inputTokens, at: now });
  }

  recordEnded(service: string): void {
    const counts = this.services.get(service);
    if (counts !== undefined) {
      counts.running = Math.max(0, counts.running - 1);
    }
  }

  /** Returns the recent demand by service, without services that have none. */
  getDemand(now: Milliseconds): ServiceDemand[] {
    return [...this.services].flatMap(([service, counts]) => {
      const recent = counts.sent.filter(({ at }) => now - at <= DEMAND_WINDOW);
      Object.assign(counts, { sent: recent });
      const sentTokens = recent.reduce((sum, sent) => sum + sent.tokens, 0);
      const tokens = sentTokens + DemandCounter.takeRefusedTokens(counts, now);
      const tokensPerSecond = (tokens * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW;
      return tokens > 0 || counts.running > 0
        ? [{ service, tokensPerSecond, running: counts.running }]
        : [];
    });
  }

  private getCounts(service: string): ServiceCounts {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const counts = { sent: [], refused: new Map(), running: 0 };
    this.services.set(service, counts);
    return counts;
  }

  /** Removes what was refused before the window, and sums up the rest. */
  private static takeRefusedTokens({ refused }: ServiceCounts, now: Milliseconds): number {
    let tokens = 0;
    refused.forEach(({ inputTokens, at }, fingerprint) => {
      if (now - at > DEMAND_WINDOW) {
        refused.delete(fingerprint);
      } else {
        tokens += inputTokens;
      }
    });
    return tokens;
  }
}
