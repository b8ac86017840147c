import type { Replica, ServiceClass } from '@apricotrill/model';
import type { ScheduledRequest } from '../lib/messages.js';

/** The service used by most tests. */
export const SERVICE = 'kielimalli';

function createClass(
  name: string,
  tier: number,
  rules: Pick<ServiceClass, 'floor' | 'preemptible' | 'repeatable'>,
): ServiceClass {
  const target = { firstToken: 500, tokenGap: 50 };
  return { name, tier, target, deadline: 10_000, ...rules };
}

/** One service class for each case that the scheduling rules distinguish. */
export const classes = {
  gate: createClass('gate', 0, { floor: 0, preemptible: false, repeatable: true }),
  hold: createClass('hold', 1, { floor: 0, preemptible: false, repeatable: false }),
  chat: createClass('chat', 2, { floor: 0.1, preemptible: true, repeatable: true }),
  report: createClass('report', 3, { floor: 0.1, preemptible: true, repeatable: true }),
  summary: createClass('summary', 4, { floor: 0.05, preemptible: false, repeatable: true }),
  draft: createClass('draft', 5, { floor: 0.05, preemptible: true, repeatable: true }),
};

/** The classes whose responses are streamed and can be resumed. */
const RESUMABLE_CLASSES = new Set(['chat', 'summary', 'draft']);

/** Creates a replica of the service used by the tests. */
export function createReplica(id: string, overrides: Partial<Replica> = {}): Replica {
  return {
    id,
    service: SERVICE,
    availabilityZone: 'espoo',
    host: '127.0.0.1',
    port: 9000,
    slots: 2,
    checksFencing: true,
    placement: [],
    ...overrides,
  };
}

/** Creates a request of a service class. */
export function createRequest(
  id: string,
  serviceClass: ServiceClass,
  overrides: Partial<ScheduledRequest> = {},
): ScheduledRequest {
  return {
    id,
    service: SERVICE,
    workspace: 'painotalo',
    workspaceWeight: 1,
    serviceClass,
    resumable: RESUMABLE_CLASSES.has(serviceClass.name),
    arrivedAt: 0,
    ...overrides,
  };
}
