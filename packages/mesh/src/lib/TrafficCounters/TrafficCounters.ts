/**
 * The traffic of one topic so far. Bytes are those of encoded envelopes and responses, without the
 * overhead of HTTP/2 and TCP.
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
 * Counts received and sent traffic by topic.
 *
 * @example
 * ```ts
 * const { bytesOut } = mesh.traffic.getTopic('gossip');
 * ```
 * @public
 */
export class TrafficCounters {
  private readonly topics = new Map<string, TopicTraffic>();

  /** The traffic of a topic so far. */
  getTopic(topic: string): Readonly<TopicTraffic> {
    return this.getEntry(topic);
  }

  /** The traffic of each topic so far, by topic. */
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
