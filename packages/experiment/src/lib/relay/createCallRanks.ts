import { PriorityRanks, RouteKind } from '@apricotrill/relay';
import type { RelayConfiguration, RelayRoute, RelayWorkspace } from '@apricotrill/relay';
import type { RelayDeployment, RequestKind } from './RelayDeployment.js';

/** Returns the rank of a call, by its kind and the priority of its workspace. */
export type CallRanks = (kind: RequestKind, workspacePriority: number | undefined) => number;

function createRoute({ name, service, latencyTarget, priority, timeout }: RequestKind): RelayRoute {
  return {
    name,
    host: name,
    pathPrefix: '/',
    kind: RouteKind.Stream,
    resumable: false,
    timeout,
    latencyTarget,
    priority,
    maxAttempts: 1,
    isPublic: false,
    targets: [{ service, weight: 1 }],
  };
}

function createWorkspace(priority: number | undefined): RelayWorkspace {
  return { name: String(priority), keys: [], priority };
}

/** Ranks the calls of a deployment as its daemons do. */
export function createCallRanks({ kinds, workspaces }: RelayDeployment): CallRanks {
  const limits = { headerBytes: 0, bodyBytes: 0, headerTimeout: 0, idleTimeout: 0 };
  const configuration: RelayConfiguration = {
    version: 1,
    routes: kinds.map(createRoute),
    services: [],
    workspaces: workspaces.map(({ priority }) => createWorkspace(priority)),
    limits,
  };
  const ranks = new PriorityRanks(configuration);
  return (kind, priority) => ranks.get(createRoute(kind), kind.service, createWorkspace(priority));
}
