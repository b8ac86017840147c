import * as fc from 'fast-check';
import { createRoute } from '../../test/fixtures.js';
import { PriorityRanks } from './PriorityRanks.js';
import type { RelayConfiguration, RelayRoute, RelayWorkspace } from './RelayConfiguration.js';

function createConfiguration(
  routes: RelayRoute[],
  workspaces?: RelayWorkspace[],
): RelayConfiguration {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  return { version: 1, routes, services: [], workspaces, limits };
}

function createWorkspace(name: string, priority?: number): RelayWorkspace {
  return { name, keys: [], priority };
}

describe('PriorityRanks', () => {
  // Guards against an engine that runs out of memory and preempts urgent requests while less urgent ones
  // keep running: all workspaces had priority 1, which replaced the priority of the route.
  it('ranks by the priority of the route among workspaces of equal priority', () => {
    const question = createRoute({ name: 'question', priority: 1, latencyTarget: 600 });
    const summary = createRoute({ name: 'summary', priority: 2, latencyTarget: 1_500 });
    const help = createRoute({ name: 'help', priority: 0, latencyTarget: 400 });
    const workspace = createWorkspace('w', 1);
    const ranks = new PriorityRanks(createConfiguration([summary, question, help], [workspace]));
    const [first, second, third] = [help, question, summary].map((route) =>
      ranks.get(route, 'app', workspace),
    );
    expect(first).toBeLessThan(second!);
    expect(second).toBeLessThan(third!);
  });

  it('ranks by the priority of the workspace within a route priority, and by the latency target last', () => {
    const slow = createRoute({ name: 'slow', priority: 1, latencyTarget: 900 });
    const fast = createRoute({ name: 'fast', priority: 1, latencyTarget: 300 });
    const urgent = createWorkspace('urgent', 0);
    const calm = createWorkspace('calm', 3);
    const ranks = new PriorityRanks(createConfiguration([slow, fast], [urgent, calm]));
    expect(ranks.get(slow, 'app', urgent)).toBeLessThan(ranks.get(fast, 'app', calm));
    expect(ranks.get(fast, 'app', calm)).toBeLessThan(ranks.get(slow, 'app', calm));
  });

  // Guards against urgent requests that wait behind less urgent ones of preferred workspaces.
  it('ranks every request before those of less urgent routes', () => {
    const help = createRoute({ name: 'help', priority: 0, latencyTarget: 400 });
    const question = createRoute({ name: 'question', priority: 1, latencyTarget: 600 });
    const summary = createRoute({ name: 'summary', priority: 2, latencyTarget: 1_500 });
    const routes = [help, question, summary];
    const workspaces = [undefined, 0, 1, 5].map((priority) => createWorkspace('w', priority));
    const ranks = new PriorityRanks(createConfiguration(routes, workspaces));
    const calls = routes.flatMap((route) =>
      workspaces.map((workspace) => ({ route, rank: ranks.get(route, 'app', workspace) })),
    );
    calls.forEach((left) =>
      calls
        .filter(({ route }) => route.priority > left.route.priority)
        .forEach(({ rank }) => expect(left.rank).toBeLessThan(rank)),
    );
  });

  // Guards against urgent requests that engines cannot tell from less urgent ones: engines know ten
  // levels, and all ranks beyond them were sent as the last level.
  it('keeps routes of different priorities apart if there are fewer levels than ranks', () => {
    const routes = [0, 1, 2, 3, 4, 5].map((priority) => createRoute({ priority }));
    const workspaces = [0, 1, 2, 3].map((priority) => createWorkspace('w', priority));
    const ranks = new PriorityRanks(createConfiguration(routes, workspaces), 10);
    const levels = routes.map((route) => workspaces.map((item) => ranks.get(route, 'app', item)));
    levels.slice(1).forEach((own, index) => {
      expect(Math.min(...own)).toBeGreaterThan(Math.max(...levels[index]!));
    });
    expect(Math.max(...levels.flat())).toBeLessThan(10);
  });

  it('never inverts the order of routes, however few the levels', () => {
    const priority = fc.integer({ min: 0, max: 12 });
    const priorities = fc.array(priority, { minLength: 1, maxLength: 8 });
    const levelCounts = fc.integer({ min: 1, max: 20 });
    fc.assert(
      fc.property(priorities, priorities, levelCounts, (ofRoutes, ofWorkspaces, levels) => {
        const routes = ofRoutes.map((item) => createRoute({ priority: item }));
        const workspaces = ofWorkspaces.map((item) => createWorkspace('w', item));
        const ranks = new PriorityRanks(createConfiguration(routes, workspaces), levels);
        const calls = routes.flatMap((route) =>
          workspaces.map((item) => ({ route, rank: ranks.get(route, 'app', item) })),
        );
        calls.forEach(({ rank }) => expect(rank).toBeLessThan(levels));
        calls.forEach((left) =>
          calls
            .filter(({ route }) => route.priority > left.route.priority)
            .forEach((right) => expect(left.rank).toBeLessThanOrEqual(right.rank)),
        );
      }),
      { seed: 12 },
    );
  });

  it('keeps the priorities of workspaces apart while the levels suffice', () => {
    const routes = [0, 1, 2].map((priority) => createRoute({ priority }));
    const workspaces = [0, 1, 2].map((priority) => createWorkspace('w', priority));
    const ranks = new PriorityRanks(createConfiguration(routes, workspaces), 10);
    const levels = routes.flatMap((route) =>
      workspaces.map((item) => ranks.get(route, 'app', item)),
    );
    expect(levels).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8]);
  });

  it('ranks the requests of each service separately', () => {
    const other = createRoute({ priority: 0, targets: [{ service: 'other', weight: 1 }] });
    const own = createRoute({ priority: 4 });
    const ranks = new PriorityRanks(createConfiguration([other, own]));
    expect(ranks.get(own, 'app', undefined)).toBe(0);
  });

  it('agrees with the order of the priorities', () => {
    const priority = fc.integer({ min: 0, max: 12 });
    const routes = fc.array(
      fc.record({ priority, latencyTarget: fc.constantFrom(100, 200, 400) }),
      {
        minLength: 1,
        maxLength: 8,
      },
    );
    const stated = fc.array(fc.option(priority, { nil: undefined }), {
      minLength: 1,
      maxLength: 4,
    });
    fc.assert(
      fc.property(routes, stated, (routeParts, priorities) => {
        const all = routeParts.map((parts) => createRoute(parts));
        const workspaces = priorities.map((item, index) => createWorkspace(`w${index}`, item));
        const ranks = new PriorityRanks(createConfiguration(all, workspaces));
        const calls = all.flatMap((route) =>
          workspaces.map((workspace) => ({
            key: [route.priority, workspace.priority ?? route.priority] as const,
            rank: ranks.get(route, 'app', workspace),
          })),
        );
        calls.forEach((left) =>
          calls.forEach((right) => {
            const isBefore =
              left.key[0] < right.key[0] ||
              (left.key[0] === right.key[0] && left.key[1] < right.key[1]);
            expect(isBefore && left.rank >= right.rank).toBe(false);
          }),
        );
      }),
      { seed: 11 },
    );
  });
});
