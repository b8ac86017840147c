import { PreemptionList } from '../PreemptionList/PreemptionList.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * The running requests of a service, indexed by replica, by class and by whether they may be
 * preempted.
 *
 * @internal
 */
export class RunningRequests {
  readonly preemptible: PreemptionList;

  private readonly recordsByReplica = new Map<ReplicaState, Set<RequestRecord>>();

  private readonly countsByClass = new Map<string, number>();

  constructor(maxPreemptions: number) {
    this.preemptible = new PreemptionList(maxPreemptions);
  }

  add(record: RequestRecord, state: ReplicaState): void {
    const records = this.recordsByReplica.get(state) ?? new Set();
    this.recordsByReplica.set(state, records.add(record));
    this.changeCountOfClass(record, 1);
    this.preemptible.add(record);
  }

  remove(record: RequestRecord, state: ReplicaState): void {
    const records = this.recordsByReplica.get(state);
    records?.delete(record);
    if (records?.size === 0) {
      this.recordsByReplica.delete(state);
    }
    this.changeCountOfClass(record, -1);
    this.preemptible.remove(record);
  }

  getAtReplica(state: ReplicaState): RequestRecord[] {
    return [...(this.recordsByReplica.get(state) ?? [])];
  }

  getCountOfClass(className: string): number {
    return this.countsByClass.get(className) ?? 0;
  }

  /** Returns the number of running requests of each class. */
  getCountsByClass(): Record<string, number> {
    return Object.fromEntries(this.countsByClass);
  }

  private changeCountOfClass(record: RequestRecord, change: 1 | -1): void {
    const { name } = record.request.serviceClass;
    this.countsByClass.set(name, this.getCountOfClass(name) + change);
  }
}
