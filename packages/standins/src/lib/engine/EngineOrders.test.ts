import { ManualClock } from '@apricotrill/utils';
import { EngineOrders, EngineRole } from './EngineOrders.js';
import { WeightStore } from './WeightStore.js';

function setUp(checksFencing: boolean) {
  const clock = new ManualClock();
  const weights = new WeightStore(clock, { maxLoads: 2, period: 1_000 });
  const settings = { clock, weights, checksFencing, loadTime: 100, loaded: ['base@1'] };
  const orders = new EngineOrders(settings);
  const load = (fencingNumber: number, model: string, orderId = model) =>
    orders.handle({ fencingNumber, orderId, order: { kind: 'load', model, version: '1' } });
  return { clock, orders, load };
}

describe('EngineOrders', () => {
  it('refuses an old fencing number only if the engine checks it', () => {
    const order = { kind: 'set-role', role: EngineRole.Decode } as const;
    const checking = setUp(true).orders;
    checking.handle({
      fencingNumber: 7,
      orderId: 'new',
      order: { ...order, role: EngineRole.Mixed },
    });
    const refusal = checking.handle({ fencingNumber: 6, orderId: 'old', order });
    expect(refusal).toEqual({ kind: 'stale-fencing-number', highest: 7 });
    expect(checking.getState().role).toBe(EngineRole.Mixed);
    const other = setUp(false).orders;
    other.handle({ fencingNumber: 7, orderId: 'new', order: { ...order, role: EngineRole.Mixed } });
    expect(other.handle({ fencingNumber: 6, orderId: 'old', order }).kind).toBe('taken');
    expect(other.getState()).toMatchObject({ role: EngineRole.Decode, highestFencingNumber: 7 });
  });

  it('executes an order once, however often it is sent', () => {
    const { clock, orders, load } = setUp(true);
    load(1, 'a');
    clock.advance(100);
    expect(orders.getState().loaded).toEqual(['a@1', 'base@1']);
    const unload = { kind: 'unload', model: 'a', version: '1' } as const;
    orders.handle({ fencingNumber: 1, orderId: 'unload', order: unload });
    load(1, 'a');
    clock.advance(100);
    expect(orders.getState()).toMatchObject({ loaded: ['base@1'], loading: [] });
    expect(orders.getHistory()).toHaveLength(3);
  });

  it('respects the rate limit of the weight store, and accepts a refused order later', () => {
    const { clock, orders, load } = setUp(true);
    load(1, 'a');
    clock.advance(400);
    load(1, 'b');
    expect(load(1, 'c')).toEqual({ kind: 'rate-limited', retryAfter: 600 });
    expect(load(1, 'base', 'again').kind).toBe('taken');
    clock.advance(600);
    expect(load(1, 'c').kind).toBe('taken');
    expect(orders.getState()).toMatchObject({ loaded: ['a@1', 'b@1', 'base@1'], loading: ['c@1'] });
    expect([orders.isLoaded('a'), orders.isLoaded('a@1'), orders.isLoaded('c')]).toEqual([
      true,
      true,
      false,
    ]);
  });
});
