import { PlacementHarness, harnessOptions } from '../../test/PlacementHarness.js';
import { DropReason } from '../PlacementEvent.js';
import type { ReceivedOrder } from '../../test/FakeEngine.js';
import type { Placements } from '../../test/PlacementHarness.js';

/** In `SURPLUS`, chat-2 has a surplus model to unload once chat-1 has been observed. */
const DESIRED: Placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1'] };
const SURPLUS: Placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1', 'a@2'] };

function getReceivedOrders(harness: PlacementHarness, id: string): ReceivedOrder[] {
  return harness.engines.get(id)!.receivedOrders;
}

function getEventKinds(harness: PlacementHarness): string[] {
  return harness.events.map(({ kind }) => kind);
}

function getDropReasons(harness: PlacementHarness): DropReason[] {
  return harness.events
    .filter((event) => event.kind === 'order-dropped')
    .map(({ because }) => because);
}

async function advanceUntilLoaded(harness: PlacementHarness, desired: Placements): Promise<void> {
  await harness.advanceUntil(() => JSON.stringify(harness.getLoaded()) === JSON.stringify(desired));
}

/** Stops while the response to the final observation before the first unload is in flight. */
async function advanceUntilFinalObservation(harness: PlacementHarness): Promise<void> {
  await harness.advanceUntil(() => harness.engines.get('chat-1')!.observationCount === 2);
}

describe('PlacementManager', () => {
  /*
   * Guards against checking the lease only before the final observation: if the holder pauses
   * during it and another daemon takes over, an engine that ignores fencing numbers would accept
   * its order.
   */
  it('sends no order after a pause during which its lease expired', async () => {
    const harness = new PlacementHarness(DESIRED, undefined, SURPLUS);
    await advanceUntilFinalObservation(harness);
    const pausedDaemon = harness.getHolder('chat')!;
    pausedDaemon.clock.pause();
    await advanceUntilLoaded(harness, DESIRED);
    pausedDaemon.clock.resume();
    await harness.advance(1_000);
    expect(getReceivedOrders(harness, 'chat-2').map(({ sender }) => sender)).not.toContain(
      pausedDaemon.id,
    );
    expect(getDropReasons(harness)).toContain(DropReason.LeaseNotHeld);
  });

  /*
   * A holder pauses between its lease check and the send; another daemon takes over, an edit takes
   * effect, and the order arrives two minutes late. No check by the sender can prevent this.
   * Engines that check fencing numbers reject the order; on others the new holder must detect and
   * revert it.
   */
  it.each(['chat-1', 'chat-2'])(
    'reaches the last accepted placement after a late order to %s',
    async (id) => {
      const edited: Placements = { [id]: ['b@1'] };
      const harness = new PlacementHarness({ [id]: ['a@1'] });
      let isPaused = false;
      harness.getDelay = () => {
        const isFirstOrder = !isPaused && getEventKinds(harness).includes('order-sent');
        isPaused ||= isFirstOrder;
        return isFirstOrder ? 120_000 : 5;
      };
      await harness.advanceUntil(() => isPaused);
      const pausedDaemon = harness.getHolder('chat')!;
      pausedDaemon.clock.pause();
      await advanceUntilLoaded(harness, { [id]: ['a@1'] });
      harness.changePlacements(edited);
      await advanceUntilLoaded(harness, edited);
      await harness.advanceUntil(() =>
        getReceivedOrders(harness, id).some(({ sender }) => sender === pausedDaemon.id),
      );
      expect(getReceivedOrders(harness, id).at(-1)!.outcome).toBe(
        id === 'chat-1' ? 'stale' : 'accepted',
      );
      await harness.advance(30_000);
      expect(harness.getLoaded()).toEqual(edited);
    },
  );

  /*
   * Guards against repeating an order without checking whether it took effect: when the response to
   * an accepted load is lost, the model would be loaded twice.
   */
  it('observes the engine before repeating an order whose response was lost', async () => {
    const harness = new PlacementHarness({ 'chat-2': ['a@1'] });
    harness.engines.get('chat-2')!.lostResponses = 1;
    await advanceUntilLoaded(harness, { 'chat-2': ['a@1'] });
    await harness.advance(30_000);
    expect(getEventKinds(harness)).toContain('order-lost');
    expect(getReceivedOrders(harness, 'chat-2')).toHaveLength(1);
  });

  /*
   * Guards against a holder that continues without renewing its lease: after a store outage longer
   * than the lease, two daemons could send orders, or engines could be unloaded during the outage.
   */
  it('sends no orders after its lease expires in a store outage, and resumes afterwards', async () => {
    const edited: Placements = { 'chat-1': ['b@1'], 'chat-2': ['a@1'] };
    const harness = new PlacementHarness(DESIRED, undefined, DESIRED);
    await harness.advanceUntil(() => harness.getHolder('chat') !== undefined);
    harness.store.isDown = true;
    await harness.advanceUntil(() => getEventKinds(harness).includes('lease-lost'));
    harness.changePlacements(edited);
    await harness.advance(300_000);
    expect(harness.getLoaded()).toEqual(DESIRED);
    expect(getEventKinds(harness)).not.toContain('order-sent');
    harness.store.isDown = false;
    await advanceUntilLoaded(harness, edited);
    const kinds = getEventKinds(harness);
    const eventsBeforeOrder = kinds.slice(
      kinds.lastIndexOf('lease-gained'),
      kinds.indexOf('order-sent'),
    );
    expect(eventsBeforeOrder).toEqual(['lease-gained', 'engine-met', 'engine-met']);
  });

  /*
   * Guards against a token bucket that filled while another daemon held the lease and used the
   * whole rate: after the handover the weight store would rate limit the loads of the new holder.
   */
  it('starts with an empty load budget when it acquires the lease', async () => {
    const harness = new PlacementHarness(DESIRED);
    await harness.advance(60_000);
    const released = harness.getHolder('chat')!.manager.release();
    harness.engines.forEach((engine) => engine.crash());
    await harness.advanceUntil(
      () => getEventKinds(harness).filter((kind) => kind === 'lease-gained').length === 2,
    );
    await released;
    const gainedIndex = getEventKinds(harness).lastIndexOf('lease-gained');
    await advanceUntilLoaded(harness, DESIRED);
    const sentOrder = harness.events.slice(gainedIndex).find(({ kind }) => kind === 'order-sent');
    const minDelay = 1_000 / harnessOptions.loadsPerSecond;
    expect(sentOrder!.at - harness.events[gainedIndex]!.at).toBeGreaterThanOrEqual(minDelay);
  });

  /*
   * Guards against applying an edit only at the next due observation, which can be a minute away
   * while all engines are converged.
   */
  it('applies an edit at once', async () => {
    const options = { observeConverged: 60_000 };
    const harness = new PlacementHarness(DESIRED, undefined, DESIRED, options);
    await harness.advance(300_000);
    harness.changePlacements(SURPLUS);
    await harness.advance(50);
    expect(getEventKinds(harness)).toContain('order-sent');
  });

  /*
   * Guards against sending an order planned for an outdated configuration: an edit that needs a
   * model could take effect between the planning and the sending of its unload.
   */
  it('drops a planned order when another configuration takes effect', async () => {
    const harness = new PlacementHarness(DESIRED, undefined, SURPLUS);
    await advanceUntilFinalObservation(harness);
    harness.changePlacements(SURPLUS);
    await harness.advance(60_000);
    expect(getDropReasons(harness)).toEqual([DropReason.ConfigurationChanged]);
    expect(getReceivedOrders(harness, 'chat-2')).toEqual([]);
  });

  /*
   * Guards against relying on an outdated observation: the engine with the new copy of a model may
   * crash just before the old copy is unloaded, which would leave no copy.
   */
  it('keeps a copy when the engine with the new copy crashed after its observation', async () => {
    const desired: Placements = { 'chat-1': ['a@1'], 'chat-2': ['b@1'] };
    const loaded: Placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1', 'b@1'] };
    const harness = new PlacementHarness(desired, undefined, loaded);
    await harness.advanceUntil(() => harness.engines.get('chat-1')!.observationCount === 1);
    harness.engines.get('chat-1')!.crash();
    await harness.advanceUntil(() => !harness.getLoaded()['chat-2']!.includes('a@1'));
    expect(harness.getLoaded()['chat-1']).toEqual(['a@1']);
    expect(getDropReasons(harness)).toContain(DropReason.CopyNotConfirmed);
  });

  /*
   * Guards against ignoring Retry-After: loads would be repeated while the weight store responds
   * with 429 and a Retry-After of 20 s.
   */
  it('sends no loads until the Retry-After time of the weight store has passed', async () => {
    const harness = new PlacementHarness({ 'chat-1': ['a@1'], 'chat-2': ['a@1'] });
    await harness.advanceUntil(() => harness.getHolder('chat') !== undefined);
    harness.weights.rateLimitedUntil = harness.clock.now() + 20_000;
    await advanceUntilLoaded(harness, DESIRED);
    const outcomes = [...harness.engines.values()].flatMap(({ receivedOrders }) =>
      receivedOrders.map(({ outcome }) => outcome),
    );
    expect(outcomes.sort()).toEqual(['accepted', 'accepted', 'rate-limited']);
  });

  /*
   * Guards against repeating a refused order after each observation: an engine may refuse a load
   * every time, for instance of a version that does not exist, which would flood weight store and
   * log.
   */
  it('repeats a refused order at increasing intervals', async () => {
    const harness = new PlacementHarness({ 'chat-1': ['a@1'], 'chat-2': ['a@1'] });
    harness.engines.get('chat-1')!.refusesOrders = true;
    await harness.advanceUntil(() => harness.getLoaded()['chat-2']!.includes('a@1'));
    await harness.advance(60_000);
    expect(getReceivedOrders(harness, 'chat-1').length).toBeGreaterThan(1);
    expect(getReceivedOrders(harness, 'chat-1').length).toBeLessThan(12);
  });

  /*
   * Guards against exceeding the maximum number of changing engines right after a takeover: a new
   * holder with a small observation budget may not yet have observed an engine that is loading.
   */
  it('sends no order before it has observed every engine', async () => {
    const placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1'] };
    const options = { observationBurst: 1, observationsPerSecond: 0.2 };
    const harness = new PlacementHarness(placements, undefined, {}, options);
    await harness.advanceUntil(() => getEventKinds(harness).includes('engine-met'));
    await harness.advance(4_000);
    expect(getEventKinds(harness)).not.toContain('order-sent');
    await harness.advanceUntil(() => getEventKinds(harness).includes('order-sent'));
    expect(getEventKinds(harness).filter((kind) => kind === 'engine-met')).toHaveLength(2);
  });

  /*
   * Guards against a lease whose fencing number stays below the highest that an engine has seen.
   * This happens when a replica moves to a service whose lease was granted earlier: the engine
   * would reject every order of the rightful holder.
   */
  it('acquires a higher fencing number when an engine has seen one', async () => {
    const harness = new PlacementHarness({ 'chat-1': ['a@1'] });
    await harness.advanceUntil(() => harness.getHolder('chat') !== undefined);
    const { manager } = harness.getHolder('chat')!;
    const highest = manager.getFencingNumber('chat')! + 1;
    const order = { kind: 'load' as const, model: 'b', version: '1' };
    harness.engines.get('chat-1')!.order({ fencingNumber: highest, orderId: 'x', order }, 'x');
    await advanceUntilLoaded(harness, { 'chat-1': ['a@1'] });
    expect(manager.getFencingNumber('chat')).toBeGreaterThanOrEqual(highest);
  });

  /*
   * Guards against a graceful shutdown that leaves the lease to expire: after each planned restart
   * no daemon would send orders for the duration of a lease.
   */
  it('releases its leases on shutdown', async () => {
    const harness = new PlacementHarness(DESIRED, undefined, DESIRED);
    await harness.advanceUntil(() => harness.getHolder('chat') !== undefined);
    const holder = harness.getHolder('chat')!;
    const released = holder.manager.release();
    await harness.advance(harnessOptions.lease.duration - 1_000);
    await released;
    expect(harness.getHolder('chat')).toBeDefined();
    expect(harness.getHolder('chat')).not.toBe(holder);
  });
});
