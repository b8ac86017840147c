import type { ServiceDemand } from '@apricotrill/duties';
import type { Milliseconds } from '@apricotrill/utils';

const MILLISECONDS_PER_SECOND = 1_000;

/** Demand is measured over this long. */
const SPAN: Milliseconds = 2_000;

interface Sent {
  tokens: number;
  at: Milliseconds;
}

interface Counts {
  sent: Sent[];
  running: number;
}

/** What this daemon had under way for each service lately. */
export class DemandCounter {
  private readonly services = new Map<string, Counts>();

  /** @param tokens - prompt tokens that the engine has to read */
  noteSent(service: string, tokens: number, now: Milliseconds): void {
    const counts = this.services.get(service) ?? { sent: [], running: 0 };
    this.services.set(service, counts);
    counts.running += 1;
    counts.sent.push({ tokens, at: now });
  }

  noteEnded(service: string): void {
    const counts = this.services.get(service);
    if (counts !== undefined) {
      counts.running = Math.max(0, counts.running - 1);
    }
  }

  /** The demand of the last seconds; services without any are left out. */
  getDemand(now: Milliseconds): ServiceDemand[] {
    return [...this.services].flatMap(([service, counts]) => {
      const recent = counts.sent.filter(({ at }) => now - at <= SPAN);
      Object.assign(counts, { sent: recent });
      const tokens = recent.reduce((sum, sent) => sum + sent.tokens, 0);
      const tokensPerSecond = (tokens * MILLISECONDS_PER_SECOND) / SPAN;
      return tokens > 0 || counts.running > 0
        ? [{ service, tokensPerSecond, running: counts.running }]
        : [];
    });
  }
}
