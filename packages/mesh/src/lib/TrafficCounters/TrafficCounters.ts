/**
 * What one topic has cost so far. Bytes are those of encoded envelopes and answers; HTTP/2 and
 * TCP come on top.
 *
 * @public
 */
export interface TopicTraffic {
  bytesIn: number;
  bytesOut: number;
  messagesIn: number;
  messagesOut: number;
}

/**
 * Counts traffic by topic, both ways.
 *
 * @example
 * ```ts
 * const { bytesOut } = mesh.traffic.getTopic('gossip');
 * ```
 * @public
 */
export class TrafficCounters {
  private readonly topics = new Map<string, TopicTraffic>();

  /** What a topic has cost so far. */
  getTopic(topic: string): Readonly<TopicTraffic> {
    return this.getEntry(topic);
  }

  /** What each topic has cost so far, by name. */
  getTopics(): ReadonlyMap<string, Readonly<TopicTraffic>> {
    return this.topics;
  }

  /** @internal */
  countIn(topic: string, bytes: number): void {
    const entry = this.getEntry(topic);
    entry.bytesIn += bytes;
    entry.messagesIn += 1;
  }

  /** @internal */
  countOut(topic: string, bytes: number): void {
    const entry = this.getEntry(topic);
    entry.bytesOut += bytes;
    entry.messagesOut += 1;
  }

  private getEntry(topic: string): TopicTraffic {
    let entry = this.topics.get(topic);
    if (entry === undefined) {
      entry = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };
      this.topics.set(topic, entry);
    }
    return entry;
  }
}
