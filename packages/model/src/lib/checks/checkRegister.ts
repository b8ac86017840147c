import type { Fault } from '../Diagnostic.js';
import { getExpectedChoice } from '../getSuggestion.js';
import { ServiceKind } from '../Register.js';
import type { Register, Replica, Service } from '../Register.js';
import { getDuplicateFaults } from './getDuplicateFaults.js';

/** Extracts the model from `model[:adapter]@version`. */
function getPlacementModel(placement: string): string {
  return placement.split(/[:@]/)[0]!;
}

function checkUniqueness(register: Register): Fault[] {
  const { services, replicas, workspaces } = register;
  return [
    ...getDuplicateFaults(
      'service name',
      services.map(({ name }, index) => ({ value: name, path: ['services', index, 'name'] })),
    ),
    ...getDuplicateFaults(
      'replica id',
      replicas.map(({ id }, index) => ({ value: id, path: ['replicas', index, 'id'] })),
    ),
    ...getDuplicateFaults(
      'address',
      replicas.map(({ host, port }, index) => ({
        value: `${host}:${port}`,
        path: ['replicas', index, 'port'],
      })),
    ),
    ...getDuplicateFaults(
      'workspace name',
      workspaces.map(({ name }, index) => ({ value: name, path: ['workspaces', index, 'name'] })),
    ),
    ...getDuplicateFaults(
      'API key hash',
      workspaces.flatMap(({ apiKeyHashes }, index) =>
        apiKeyHashes.map((value, key) => ({
          value,
          path: ['workspaces', index, 'apiKeyHashes', key],
        })),
      ),
    ),
  ];
}

function checkService(service: Service, index: number): Fault[] {
  const isModel = service.kind === ServiceKind.Model;
  if (isModel === service.models.length > 0) {
    return [];
  }
  return [
    {
      path: ['services', index, 'models'],
      reason: isModel ? 'a model service lists no model' : 'a plain service lists models',
      expected: isModel ? 'at least one model' : 'no models, or kind "model"',
    },
  ];
}

function checkReplica(
  replica: Replica,
  index: number,
  services: ReadonlyMap<string, Service>,
): Fault[] {
  const service = services.get(replica.service);
  if (service === undefined) {
    return [
      {
        path: ['replicas', index, 'service'],
        reason: `unknown service "${replica.service}"`,
        expected: getExpectedChoice(replica.service, [...services.keys()]),
      },
    ];
  }
  return replica.placement.flatMap((placement, entry) => {
    const model = getPlacementModel(placement);
    if (service.models.includes(model)) {
      return [];
    }
    return [
      {
        path: ['replicas', index, 'placement', entry],
        reason: `service "${service.name}" does not list the model "${model}"`,
        expected: `a model of that service: ${getExpectedChoice(model, service.models)}`,
      },
    ];
  });
}

/** Returns the faults that the schema cannot express, such as duplicate or unknown names. */
export function checkRegister(register: Register): Fault[] {
  const services = new Map(register.services.map((service) => [service.name, service]));
  return [
    ...checkUniqueness(register),
    ...register.services.flatMap(checkService),
    ...register.replicas.flatMap((replica, index) => checkReplica(replica, index, services)),
  ];
}
