import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { AttemptKeys } from '../../AttemptKeys.js';
import type { ChosenReplica } from '../../chooseReplica.js';
import type { Fleet } from '../../Fleet/Fleet.js';
import type { PlacementEffect } from '../../messages.js';
import type { PlacementOptions } from '../../placementOptions.js';
import type { ReplicaBackoffs } from '../../ReplicaBackoffs/ReplicaBackoffs.js';
import type { RequestRecord } from '../../RequestRecord.js';
import type { AdmissionAnswer, AdmissionControl } from '../AdmissionControl/AdmissionControl.js';
import { createClaimedQuery } from '../createClaimedQuery.js';

/** Dependencies of {@link OwnApplicants}. */
export interface OwnApplicantsParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  keys: AttemptKeys;
  backoffs: Pick<ReplicaBackoffs, 'backedOff'>;
  control: AdmissionControl;
  fleet: Fleet;
  /** Sends a request to the engine where it begins. */
  onBegun: (record: RequestRecord, chosen: ChosenReplica, key: string) => void;
  /** Chooses another group after a refusal. @returns false if there is none to ask */
  chooseNext: (record: RequestRecord) => boolean;
  /** Called when the request must not run now. */
  onRefused: (record: RequestRecord, retryAfter: Milliseconds) => void;
  /** Called when this daemon is no longer a placer of the group. */
  onFailed: (record: RequestRecord) => void;
}

/** Submits this daemon's own requests to the admission of the groups of which it is the placer. */
export class OwnApplicants {
  /** Keys of the requests that wait. */
  private readonly keys = new Map<RequestRecord, string>();

  constructor(private readonly parts: OwnApplicantsParts) {}

  submit(record: RequestRecord, group: string): void {
    const { clock, control, keys, options, backoffs, fleet } = this.parts;
    const key = keys.next();
    record.queriedPlacers.add(fleet.self);
    this.keys.set(record, key);
    const { availabilityZone } = options;
    const inputs = {
      key,
      group,
      now: clock.now(),
      availabilityZone,
      backedOff: backoffs.backedOff,
    };
    const query = createClaimedQuery(record, inputs);
    control.apply({ ...query, daemon: fleet.self }, (answer) => this.handle(record, key, answer));
  }

  /** Withdraws a request that has ended. */
  cancel(record: RequestRecord): void {
    const key = this.keys.get(record);
    if (key !== undefined) {
      this.keys.delete(record);
      this.parts.control.withdraw({ daemon: this.parts.fleet.self, key });
    }
  }

  private handle(record: RequestRecord, key: string, answer: AdmissionAnswer): void {
    const { clock, emit, fleet, chooseNext, onBegun, onRefused, onFailed } = this.parts;
    const placer = fleet.self;
    const { id, arrivedAt } = record.request;
    const waited = clock.now() - arrivedAt;
    if (answer.kind !== 'wait') {
      this.keys.delete(record);
    }
    switch (answer.kind) {
      case 'begin':
        onBegun(record, answer.chosen, key);
        break;
      case 'wait': {
        const { expectedWait } = answer;
        emit({ kind: 'queued', id, key, placer, waited, expectedWait });
        break;
      }
      case 'refuse': {
        const { retryAfter } = answer;
        if (chooseNext(record)) {
          onFailed(record);
          break;
        }
        emit({ kind: 'not-admitted', id, key, placer, waited, retryAfter });
        onRefused(record, retryAfter);
        break;
      }
      case 'no-room':
        onFailed(record);
        break;
      default:
        answer satisfies never;
    }
  }
}
