import type { RelayRoute } from './RelayConfiguration.js';

/**
 * Compares the routes of all services by their priority, for what all services share.
 *
 * @example
 * ```ts
 * new RouteUrgencies(configuration.routes).get(route); // 1 for the most urgent, 0 for the least urgent
 * ```
 */
export class RouteUrgencies {
  private readonly priorities: readonly number[];

  constructor(routes: readonly RelayRoute[]) {
    const distinct = new Set(routes.map(({ priority }) => priority));
    this.priorities = [...distinct].sort((left, right) => left - right);
  }

  /** @returns from 0 to 1; 1 if all routes are equal */
  get({ priority }: RelayRoute): number {
    const last = this.priorities.length - 1;
    return last <= 0 ? 1 : 1 - this.priorities.indexOf(priority) / last;
  }
}
