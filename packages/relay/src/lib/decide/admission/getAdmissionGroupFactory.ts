import type { Clock } from '@apricotrill/utils';
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

function findGroup({ service, group }: AdmissionGroupSettings): ReplicaGroup | undefined {
  return service.groups.find(({ name }) => name === group);
}

/** Returns the engines of a group that a request may go to; they may be full. */
function getEngines(
  settings: AdmissionGroupSettings,
  excludedReplicas: ReadonlySet<string>,
  clock: Clock,
): ReplicaState[] {
  const found = findGroup(settings);
  return found === undefined
    ? []
    : settings.service.getGroupCandidates(found, excludedReplicas, clock.now(), () => true);
}

/** Returns the factory of the admission of replica groups, by the state of their engines. */
export function getAdmissionGroupFactory({
  clock,
  options,
}: {
  clock: Clock;
  options: PlacementOptions;
}): AdmissionGroupFactory {
  return (settings) => {
    const { service, onDecision } = settings;
    return new EngineAdmission({
      clock,
      options: admissionOptions,
      getEngines: ({ excludedReplicas }) => getEngines(settings, excludedReplicas, clock),
      getGroupEngines: () =>
        findGroup(settings)?.replicas.filter(({ isInService }) => isInService) ?? [],
      getProfile: () => service.service?.engine,
      choose: ({ criteria, availabilityZone }: Applicant, candidates) =>
        chooseReplica({
          request: criteria,
          service: service.service,
          candidates,
          now: clock.now(),
          options: { ...options, availabilityZone },
        }),
      onDecision,
    });
  };
}
