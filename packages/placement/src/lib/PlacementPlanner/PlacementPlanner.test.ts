import fc from 'fast-check';
import { EngineRole } from '@apricotrill/model';
import { createConfiguration } from '../../test/PlacementHarness.js';
import { getDesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import { getBaseName, getLoadableName } from '../modelName.js';
import { defaultPlacementOptions } from '../placementOptions.js';
import { PlacementPlanner } from './PlacementPlanner.js';
import type { EngineState } from '../EngineClient/EngineClient.js';
import type { PlacementOptions } from '../placementOptions.js';

const IDS = ['chat-1', 'chat-2', 'chat-3', 'chat-4'];
const MAX_CHANGING = 2;
const nameSets = fc.uniqueArray(fc.constantFrom('a@1', 'a@2', 'b@1', 'c:x@1'), { maxLength: 3 });
const modelLists = fc.tuple(...IDS.map(() => nameSets));

function createState(loaded: string[]): EngineState {
  return { loaded, loading: [], role: EngineRole.Mixed, highestFencingNumber: 0 };
}

/** Spreads models over replicas that alternate between two availability zones. */
function getSpreadPlacement(models: string[], options: Partial<PlacementOptions> = {}, ids = IDS) {
  const configuration = createConfiguration(Object.fromEntries(ids.map((id) => [id, []])));
  configuration.register.services[0]!.models = models;
  configuration.register.replicas.forEach((replica, index) => {
    Object.assign(replica, { availabilityZone: index % 2 === 0 ? 'espoo' : 'vantaa' });
  });
  return getDesiredPlacement(configuration, 'chat', { ...defaultPlacementOptions, ...options });
}

describe('PlacementPlanner', () => {
  /*
   * Guards against orders that are planned per engine without counting copies on the others: during
   * a change from any placement to any other, a model could lose its last copy, too many engines
   * could load at once, or planning might never converge.
   */
  it('reaches the desired placement without losing the last copy of a model meanwhile', () => {
    fc.assert(
      fc.property(modelLists, modelLists, fc.infiniteStream(fc.nat()), (before, after, choices) => {
        const desiredNames = Object.fromEntries(
          IDS.map((id, index) => [id, [...after[index]!].sort()]),
        );
        const configuration = createConfiguration(desiredNames);
        const desired = getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
        const states = new Map(IDS.map((id, index) => [id, createState([...before[index]!])]));
        const getBases = () =>
          [...states.values()].flatMap(({ loaded }) => loaded.map(getBaseName));
        const count = (bases: string[], base: string) =>
          bases.filter((other) => other === base).length;
        const targets = [...desired.engines.values()].flatMap((engine) =>
          engine.modelNames.map(getBaseName),
        );
        const minimumCounts = [...new Set(targets)].map((base) => ({
          base,
          minimum: Math.min(count(getBases(), base), count(targets, base)),
        }));
        const noEngines = new Set<string>();
        const plan = () =>
          new PlacementPlanner({
            desired,
            observed: states,
            pending: noEngines,
            suspended: noEngines,
            maxChanging: MAX_CHANGING,
          }).getOrders();
        const getLoadingStates = () =>
          [...states.values()].filter(({ loading }) => loading.length > 0);
        for (let orders = plan(); orders.length + getLoadingStates().length > 0; orders = plan()) {
          orders.forEach(({ replica, order }) => {
            const state = states.get(replica)!;
            if (order.kind === 'load') {
              state.loading.push(getLoadableName(order));
            } else if (order.kind === 'unload') {
              expect(state.loaded).toEqual(expect.arrayContaining(desiredNames[replica]!));
              state.loaded = state.loaded.filter((name) => name !== getLoadableName(order));
            }
          });
          expect(getLoadingStates().length).toBeLessThanOrEqual(MAX_CHANGING);
          minimumCounts.forEach(({ base, minimum }) => {
            expect(count(getBases(), base)).toBeGreaterThanOrEqual(minimum);
          });
          const completed =
            getLoadingStates()[choices.next().value % Math.max(1, getLoadingStates().length)];
          completed?.loaded.push(...completed.loading.splice(0));
        }
        desired.engines.forEach((engine, id) => {
          expect([...states.get(id)!.loaded].sort()).toEqual(engine.modelNames);
        });
      }),
      { numRuns: 300, seed: 4 },
    );
  });

  /*
   * Guards against relying on copies that were not observed: when the only engine that should have
   * a model is unreachable, the surplus copy on another engine may be the last one.
   */
  it('keeps a surplus copy while no desired copy has been observed', () => {
    const configuration = createConfiguration({ 'chat-1': ['a@1'], 'chat-2': ['b@1'] });
    const desired = getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
    const observed = new Map([['chat-2', createState(['a@1', 'b@1'])]]);
    const noEngines = new Set<string>();
    const input = { desired, observed, pending: noEngines, suspended: noEngines, maxChanging: 9 };
    expect(new PlacementPlanner(input).getOrders()).toEqual([]);
  });

  it('spreads each model over the zones, and moves few models when replicas are added', () => {
    const ids = Array.from({ length: 20 }, (_, index) => `chat-${index}`);
    const options = { copies: 4 };
    const models = ['a@1', 'b@1', 'c@1', 'd@1', 'e@1'];
    const { engines } = getSpreadPlacement(models, options, ids);
    models.forEach((model) => {
      const zones = [...engines.values()]
        .filter((engine) => engine.modelNames.includes(model))
        .map(({ replica }) => replica.availabilityZone);
      expect(zones.sort()).toEqual(['espoo', 'espoo', 'vantaa', 'vantaa']);
    });
    const enlarged = getSpreadPlacement(models, options, [...ids, 'chat-20', 'chat-21']).engines;
    const changedIds = ids.filter(
      (id) => engines.get(id)!.modelNames.join() !== enlarged.get(id)?.modelNames.join(),
    );
    expect(changedIds.length).toBeLessThanOrEqual(6);
  });

  it('ignores engines without desired models, and models without a version', () => {
    expect(getSpreadPlacement([]).engines.size).toBe(0);
    expect(getSpreadPlacement(['a']).unversioned).toEqual(['a']);
    const desired = getSpreadPlacement(['a', 'b@1']);
    const observed = new Map(IDS.map((id) => [id, createState(['a@7', 'b@1', 'c@1'])]));
    const noEngines = new Set<string>();
    const input = { desired, observed, pending: noEngines, suspended: noEngines, maxChanging: 9 };
    const orders = new PlacementPlanner(input).getOrders().map(({ order }) => order);
    const unload = { kind: 'unload', model: 'c', version: '1' };
    expect(orders).toEqual([unload, unload, unload, unload]);
  });

  it('sets the role that the register specifies, and leaves other roles unchanged', () => {
    const configuration = createConfiguration({ 'chat-1': ['a@1'], 'chat-2': ['a@1'] });
    configuration.register.replicas[0]!.role = EngineRole.Prefill;
    const desired = getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
    const observed = new Map(['chat-1', 'chat-2'].map((id) => [id, createState(['a@1'])]));
    const noEngines = new Set<string>();
    const input = { desired, observed, pending: noEngines, suspended: noEngines, maxChanging: 9 };
    const orders = new PlacementPlanner(input).getOrders();
    expect(orders.map(({ replica, order }) => [replica, order])).toEqual([
      ['chat-1', { kind: 'set-role', role: 'prefill' }],
    ]);
  });
});
