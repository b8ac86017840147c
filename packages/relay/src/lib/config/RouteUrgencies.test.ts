import type { RelayRoute } from './RelayConfiguration.js';
import { RouteUrgencies } from './RouteUrgencies.js';

function createRoute(priority: number): RelayRoute {
  return { priority } as RelayRoute;
}

describe('RouteUrgencies', () => {
  it('spreads the priorities in use from the most urgent to the least urgent', () => {
    const routes = [5, 0, 2, 2].map(createRoute);
    const urgencies = new RouteUrgencies(routes);
    expect(routes.map((route) => urgencies.get(route))).toEqual([0, 1, 0.5, 0.5]);
  });

  it('counts all routes as urgent if they are equal', () => {
    const route = createRoute(3);
    expect(new RouteUrgencies([route, route]).get(route)).toBe(1);
  });
});
