import type { ServiceDemand } from '@apricotrill/duties';
import type { Milliseconds } from '@apricotrill/utils';

const MILLISECONDS_PER_SECOND = 1_000;

/** Period over which demand is measured. */
const DEMAND_WINDOW: Milliseconds = 2_000;

interface SentPrompt {
  tokens: number;
  at: Milliseconds;
}

interface ServiceCounts {
  sent: SentPrompt[];
  running: number;
}

/** Measures the demand that this daemon sends to each service. */
export class DemandCounter {
  private readonly services = new Map<string, ServiceCounts>();

  /** @param tokens - prompt tokens that the engine has to compute */
  recordSent(service: string, tokens: number, now: Milliseconds): void {
    const counts = this.services.get(service) ?? { sent: [], running: 0 };
    this.services.set(service, counts);
    counts.running += 1;
    counts.sent.push({ tokens, at: now });
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
      const tokens = recent.reduce((sum, sent) => sum + sent.tokens, 0);
      const tokensPerSecond = (tokens * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW;
      return tokens > 0 || counts.running > 0
        ? [{ service, tokensPerSecond, running: counts.running }]
        : [];
    });
  }
}
