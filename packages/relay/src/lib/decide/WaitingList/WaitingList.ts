import type { RequestRecord } from '../RequestRecord.js';

/** The requests of one service that wait for a free replica, ordered by urgency and then by age. */
export class WaitingList {
  private records: RequestRecord[] = [];

  get size(): number {
    return this.records.length;
  }

  /** Returns the requests in order. */
  getAll(): readonly RequestRecord[] {
    return [...this.records];
  }

  /** The least urgent request, and the newest one among equals. */
  get last(): RequestRecord | undefined {
    return this.records.at(-1);
  }

  add(record: RequestRecord): void {
    const { rank, arrivedAt } = record.request;
    const index = this.records.findIndex(
      ({ request }) =>
        request.rank > rank || (request.rank === rank && request.arrivedAt > arrivedAt),
    );
    this.records.splice(index === -1 ? this.records.length : index, 0, record);
  }

  remove(record: RequestRecord): void {
    this.records = this.records.filter((other) => other !== record);
  }

  /** Calls `place` for each request in order, and keeps those for which it returns false. */
  drain(place: (record: RequestRecord) => boolean): void {
    const { records } = this;
    this.records = [];
    const remaining = records.filter((record) => !place(record));
    remaining.forEach((record) => this.add(record));
  }
}
