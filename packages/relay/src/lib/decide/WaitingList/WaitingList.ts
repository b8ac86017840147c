import type { RequestRecord } from '../RequestRecord.js';

/**
 * Requests of one service for which there is no room now, the most urgent first and, among equals,
 * the oldest first.
 */
export class WaitingList {
  private records: RequestRecord[] = [];

  get size(): number {
    return this.records.length;
  }

  /** The least urgent request; the newest one among equals. */
  get last(): RequestRecord | undefined {
    return this.records.at(-1);
  }

  add(record: RequestRecord): void {
    const { rank, arrivedAt: arrived } = record.request;
    const after = this.records.findIndex(
      ({ request }) =>
        request.rank > rank || (request.rank === rank && request.arrivedAt > arrived),
    );
    this.records.splice(after === -1 ? this.records.length : after, 0, record);
  }

  remove(record: RequestRecord): void {
    this.records = this.records.filter((other) => other !== record);
  }

  /** Hands out the waiting requests in order while `place` finds room for them. */
  drain(place: (record: RequestRecord) => boolean): void {
    const { records } = this;
    this.records = [];
    const left = records.filter((record) => !place(record));
    left.forEach((record) => this.add(record));
  }
}
