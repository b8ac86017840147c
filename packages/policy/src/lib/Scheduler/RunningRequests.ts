import { PreemptionList } from '../PreemptionList/PreemptionList.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * The requests of a service that run at replicas, by replica, by class and by who may be stopped.
 *
 * @internal
 */
export class RunningRequests {
  readonly preemptible: PreemptionList;

  private readonly byReplica = new Map<ReplicaState, Set<RequestRecord>>();

  private readonly byClass = new Map<string, number>();

  constructor(maxPreemptions: number) {
    this.preemptible = new PreemptionList(maxPreemptions);
  }

  add(record: RequestRecord, state: ReplicaState): void {
    const there = this.byReplica.get(state) ?? new Set();
    this.byReplica.set(state, there.add(record));
    this.changeClass(record, 1);
    this.preemptible.add(record);
  }

  remove(record: RequestRecord, state: ReplicaState): void {
    const there = this.byReplica.get(state);
    there?.delete(record);
    if (there?.size === 0) {
      this.byReplica.delete(state);
    }
    this.changeClass(record, -1);
    this.preemptible.remove(record);
  }

  getAt(state: ReplicaState): RequestRecord[] {
    return [...(this.byReplica.get(state) ?? [])];
  }

  getOfClass(className: string): number {
    return this.byClass.get(className) ?? 0;
  }

  /** Running requests by class. */
  getByClass(): Record<string, number> {
    return Object.fromEntries(this.byClass);
  }

  private changeClass(record: RequestRecord, change: 1 | -1): void {
    const { name } = record.request.serviceClass;
    this.byClass.set(name, this.getOfClass(name) + change);
  }
}
