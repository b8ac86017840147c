import type { Milliseconds } from '@apricotrill/utils';

/** A generation that came into force at a daemon, by the daemon's own log. */
export interface InForce {
  generation: number;
  /** Milliseconds since the epoch, by the machine's clock. */
  at: Milliseconds;
}

const LINE = /^(\S+Z) apricotrill:configuration (\{.*\})$/;

/**
 * Reads a line of a daemon's log.
 *
 * @returns undefined for every line but those that say what came into force
 * @internal
 */
export function parseInForce(line: string): InForce | undefined {
  const [, date, json] = LINE.exec(line) ?? [];
  if (date === undefined || json === undefined) {
    return undefined;
  }
  const { event, generation } = JSON.parse(json) as { event?: string; generation?: number };
  return event === 'in-force' && generation !== undefined
    ? { generation, at: Date.parse(date) }
    : undefined;
}

/**
 * What came into force at one daemon and when.
 *
 * @internal
 */
export class InForceLog {
  private readonly entries: InForce[] = [];

  private waiting: { generation: number; resolve: (at: Milliseconds) => void }[] = [];

  /** Takes a line of the daemon's log. */
  read(line: string): void {
    const entry = parseInForce(line);
    if (entry === undefined) {
      return;
    }
    this.entries.push(entry);
    const isReached = ({ generation }: { generation: number }) => generation <= entry.generation;
    this.waiting.filter(isReached).forEach(({ resolve }) => resolve(entry.at));
    this.waiting = this.waiting.filter((one) => !isReached(one));
  }

  /**
   * When this generation, or a later one, came into force.
   *
   * @returns undefined when it has not within `limit`
   */
  async waitFor(generation: number, limit: Milliseconds): Promise<Milliseconds | undefined> {
    const known = this.entries.find((entry) => entry.generation >= generation);
    if (known !== undefined) {
      return known.at;
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(undefined), limit);
      this.waiting.push({
        generation,
        resolve: (at) => {
          clearTimeout(timer);
          resolve(at);
        },
      });
    });
  }
}
