import type { Clock, Milliseconds } from '@apricotrill/utils';
import { chooseReplica } from '../chooseReplica.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type {
  AdmissionGroupFactory,
  AdmissionGroupSettings,
} from './AdmissionControl/AdmissionControl.js';
import { admissionOptions } from './admissionOptions.js';
import type { Applicant } from './Applicant.js';
import { EngineAdmission } from './EngineAdmission/EngineAdmission.js';
import { SlotAdmission } from '../fragility/SlotAdmission/SlotAdmission.js';

function findGroup({ service, group }: AdmissionGroupSettings): ReplicaGroup | undefined {
  return service.groups.find(({ name }) => name === group);
}

/** Returns the replicas of a group that a request may go to, except those without room. */
function getReplicas(
  settings: AdmissionGroupSettings,
  excludedReplicas: ReadonlySet<string>,
  now: Milliseconds,
  hasRoom: (state: ReplicaState) => boolean,
): ReplicaState[] {
  const found = findGroup(settings);
  return found === undefined
    ? []
    : settings.service.getGroupCandidates(found, excludedReplicas, now, hasRoom);
}

/** Whether the slots of the replicas alone decide, and not how long their engines take for prompts. */
function isDecidedBySlots({ service }: AdmissionGroupSettings): boolean {
  return (
    service.service?.engine === undefined || (service.isFragile && !service.isAdmissionControlled)
  );
}

/** Returns the factory of the admission of replica groups, by the state of their replicas. */
export function getAdmissionGroupFactory({
  clock,
  options,
}: {
  clock: Clock;
  options: PlacementOptions;
}): AdmissionGroupFactory {
  return (settings) => {
    const { service, onDecision, onFault } = settings;
    const getProfile = () => service.service?.engine;
    const getInService = () =>
      findGroup(settings)?.replicas.filter(({ isInService }) => isInService) ?? [];
    const choose = (
      { criteria, availabilityZone }: Applicant,
      candidates: readonly ReplicaState[],
    ) =>
      chooseReplica({
        request: criteria,
        service: service.service,
        candidates,
        now: clock.now(),
        options: { ...options, availabilityZone },
      });
    if (isDecidedBySlots(settings)) {
      return new SlotAdmission({
        clock,
        getCandidates: ({ excludedReplicas }) => {
          const now = clock.now();
          const hasRoom = (state: ReplicaState) => state.hasFreeSlot(getProfile(), now);
          return getReplicas(settings, excludedReplicas, now, hasRoom);
        },
        getReplicas: getInService,
        getSlots: (state) => state.getSlots(getProfile()),
        choose,
        onDecision,
        onFault,
      });
    }
    return new EngineAdmission({
      clock,
      options: admissionOptions,
      getEngines: ({ excludedReplicas }) =>
        getReplicas(settings, excludedReplicas, clock.now(), () => true),
      getGroupEngines: getInService,
      getProfile,
      choose,
      onDecision,
      onFault,
    });
  };
}
