import type { RelayConfiguration, RelayRoute, RelayWorkspace } from './RelayConfiguration.js';

/**
 * The urgency of a request; elements are compared in order, lower is more urgent: the priority of the
 * route; the priority of the workspace, or of the route if the workspace has none; 0 for the shortest
 * latency target among the service's routes, else 1. The last ones can be missing.
 */
type Urgency = readonly number[];

const URGENCY_LENGTH = 3;

function compareUrgencies(left: Urgency, right: Urgency): number {
  const index = left.findIndex((value, at) => value !== right[at]);
  return index === -1 ? 0 : left[index]! - right[index]!;
}

/** Returns the distinct urgencies, the most urgent first. */
function getDistinctUrgencies(urgencies: readonly Urgency[]): Urgency[] {
  const ordered = [...urgencies].sort(compareUrgencies);
  return ordered.filter(
    (urgency, index) => index === 0 || compareUrgencies(urgency, ordered[index - 1]!) !== 0,
  );
}

/**
 * Returns the distinct urgencies, the most urgent first, without the last elements as long as there
 * are more of them than levels.
 */
function getLeveledUrgencies(urgencies: readonly Urgency[], levels: number): Urgency[] {
  for (let length = URGENCY_LENGTH; length > 1; length -= 1) {
    const distinct = getDistinctUrgencies(urgencies.map((urgency) => urgency.slice(0, length)));
    if (distinct.length <= levels) {
      return distinct;
    }
  }
  return getDistinctUrgencies(urgencies.map((urgency) => urgency.slice(0, 1)));
}

/**
 * Ranks the requests of each service by urgency. The rank is sent to the engines.
 *
 * The priority of the route decides first, then the priority of the workspace, then the latency target.
 * If the workspace decided first, an engine would admit long prompts of a preferred workspace before the
 * urgent requests of all others, and would preempt these while the long ones keep running. The latency
 * target decides last because a short prompt that waits behind a long one misses its target, while the
 * long one is delayed by only a few milliseconds if the short one runs first.
 *
 * If a service needs more ranks than there are levels, the latency target and then the priority of the
 * workspace are disregarded. Cutting off the last ranks instead would put routes of different
 * priorities on the same level.
 *
 * @example
 * ```ts
 * const ranks = new PriorityRanks(configuration);
 * ranks.get(route, 'app', workspace); // 0 is the most urgent
 * ```
 */
export class PriorityRanks {
  private readonly byService = new Map<string, Urgency[]>();

  private readonly minLatencyTargets = new Map<string, number>();

  /** @param levels - the number of different ranks that replicas distinguish */
  constructor(
    { routes, workspaces }: RelayConfiguration,
    private readonly levels = Number.POSITIVE_INFINITY,
  ) {
    routes.forEach((route) => this.recordLatencyTarget(route));
    const priorities = new Set((workspaces ?? []).map(({ priority }) => priority));
    priorities.add(undefined);
    const urgencies = new Map<string, Urgency[]>();
    routes.forEach((route) => {
      const routeUrgencies = [...priorities].map((priority) => this.getUrgency(route, priority));
      route.targets.forEach(({ service }) => {
        urgencies.set(service, [...(urgencies.get(service) ?? []), ...routeUrgencies]);
      });
    });
    urgencies.forEach((serviceUrgencies, service) =>
      this.byService.set(service, getLeveledUrgencies(serviceUrgencies, levels)),
    );
  }

  /** Returns the rank of a request to a service; 0 is the most urgent. */
  get(route: RelayRoute, service: string, workspace: RelayWorkspace | undefined): number {
    const urgency = this.getUrgency(route, workspace?.priority);
    const urgencies = this.byService.get(service) ?? [];
    const found = urgencies.findIndex((other) => compareUrgencies(other, urgency) === 0);
    const rank = found === -1 ? urgencies.length : found;
    return Math.min(rank, this.levels - 1);
  }

  private recordLatencyTarget({ targets, latencyTarget }: RelayRoute): void {
    targets.forEach(({ service }) => {
      const minTarget = this.minLatencyTargets.get(service) ?? Number.POSITIVE_INFINITY;
      this.minLatencyTargets.set(service, Math.min(minTarget, latencyTarget));
    });
  }

  private getUrgency(route: RelayRoute, priority: number | undefined): Urgency {
    const hasShorterTarget = route.targets.some(
      ({ service }) => this.minLatencyTargets.get(service)! < route.latencyTarget,
    );
    return [route.priority, priority ?? route.priority, hasShorterTarget ? 1 : 0];
  }
}
