import { PlacementWorld, worldOptions } from '../../test/PlacementHarness.js';
import { DropReason } from '../PlacementEvent.js';
import type { Arrival } from '../../test/FakeEngine.js';
import type { Placements } from '../../test/PlacementHarness.js';

/** One engine carries a model too many, which a look at the other one allows to unload. */
const WANTED: Placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1'] };
const SURPLUS: Placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1', 'a@2'] };

function getArrivals(world: PlacementWorld, id: string): Arrival[] {
  return world.engines.get(id)!.arrivals;
}

function getKinds(world: PlacementWorld): string[] {
  return world.decisions.map(({ kind }) => kind);
}

function getDrops(world: PlacementWorld): DropReason[] {
  return world.decisions
    .filter((decision) => decision.kind === 'order-dropped')
    .map(({ because }) => because);
}

async function untilLoaded(world: PlacementWorld, wanted: Placements): Promise<void> {
  await world.until(() => JSON.stringify(world.getLoaded()) === JSON.stringify(wanted));
}

/** Stops at the moment when the holder's last look before its first unload is on its way back. */
async function untilLastLook(world: PlacementWorld): Promise<void> {
  await world.until(() => world.engines.get('chat-1')!.looks === 2);
}

describe('PlacementManager', () => {
  /*
   * Symptom: an engine that ignores fencing numbers carries out an order of a replaced holder.
   * Sequence: the holder freezes during its last look before an order; another takes over; it wakes.
   * Cause: the lease was looked at before the wait and not again after it.
   */
  it('sends nothing when it wakes from a freeze during which its lease ran out', async () => {
    const world = new PlacementWorld(WANTED, undefined, SURPLUS);
    await untilLastLook(world);
    const frozen = world.getHolder('chat')!;
    frozen.clock.pause();
    await untilLoaded(world, WANTED);
    frozen.clock.resume();
    await world.advance(1_000);
    expect(getArrivals(world, 'chat-2').map(({ sender }) => sender)).not.toContain(frozen.id);
    expect(getDrops(world)).toContain(DropReason.LeaseNotHeld);
  });

  /*
   * Symptom: an engine carries a model that the configuration took away long ago.
   * Sequence: the holder freezes between its check and the send; another holder takes over and an
   * edit comes into force; the order arrives two minutes late.
   * Cause: no check at the sender can close this gap. An engine that checks refuses the number; at
   * one that doesn't, the holder has to keep looking and undo it.
   */
  it.each(['chat-1', 'chat-2'])('ends as last accepted after a late order at %s', async (id) => {
    const edited: Placements = { [id]: ['b@1'] };
    const world = new PlacementWorld({ [id]: ['a@1'] });
    let isFrozen = false;
    world.getDelay = () => {
      const isFirstOrder = !isFrozen && getKinds(world).includes('order-sent');
      isFrozen ||= isFirstOrder;
      return isFirstOrder ? 120_000 : 5;
    };
    await world.until(() => isFrozen);
    const frozen = world.getHolder('chat')!;
    frozen.clock.pause();
    await untilLoaded(world, { [id]: ['a@1'] });
    world.edit(edited);
    await untilLoaded(world, edited);
    await world.until(() => getArrivals(world, id).some(({ sender }) => sender === frozen.id));
    expect(getArrivals(world, id).at(-1)!.outcome).toBe(id === 'chat-1' ? 'stale' : 'accepted');
    await world.advance(30_000);
    expect(world.getLoaded()).toEqual(edited);
  });

  /*
   * Symptom: a model is loaded twice, or the weight store is asked twice for one load.
   * Sequence: the engine takes an order up, and the answer is lost.
   * Cause: the order was repeated without looking whether it had taken effect.
   */
  it('looks before it repeats an order whose answer was lost', async () => {
    const world = new PlacementWorld({ 'chat-2': ['a@1'] });
    world.engines.get('chat-2')!.lostAnswers = 1;
    await untilLoaded(world, { 'chat-2': ['a@1'] });
    await world.advance(30_000);
    expect(getKinds(world)).toContain('order-lost');
    expect(getArrivals(world, 'chat-2')).toHaveLength(1);
  });

  /*
   * Symptom: two daemons give orders after an outage of the store, or engines are emptied in one.
   * Sequence: the store is down for longer than the lease's span; an edit is in force by then.
   * Cause: the holder went on although it could not have renewed.
   */
  it('gives no orders once the lease runs out in an outage, and goes on after it', async () => {
    const edited: Placements = { 'chat-1': ['b@1'], 'chat-2': ['a@1'] };
    const world = new PlacementWorld(WANTED, undefined, WANTED);
    await world.until(() => world.getHolder('chat') !== undefined);
    world.store.isDown = true;
    await world.until(() => getKinds(world).includes('lease-lost'));
    world.edit(edited);
    await world.advance(300_000);
    expect(world.getLoaded()).toEqual(WANTED);
    expect(getKinds(world)).not.toContain('order-sent');
    world.store.isDown = false;
    await untilLoaded(world, edited);
    const kinds = getKinds(world);
    const after = kinds.slice(kinds.lastIndexOf('lease-gained'), kinds.indexOf('order-sent'));
    expect(after).toEqual(['lease-gained', 'engine-met', 'engine-met']);
  });

  /*
   * Symptom: the weight store refuses loads after hand-overs.
   * Sequence: a holder uses the rate up and gives the lease away; the next one sends at once.
   * Cause: the next holder's bucket had filled while the other was sending.
   */
  it('starts a term with nothing to spend at the weight store', async () => {
    const world = new PlacementWorld(WANTED);
    await world.advance(60_000);
    const released = world.getHolder('chat')!.manager.release();
    world.engines.forEach((engine) => engine.crash());
    await world.until(() => getKinds(world).filter((kind) => kind === 'lease-gained').length === 2);
    await released;
    const gained = getKinds(world).lastIndexOf('lease-gained');
    await untilLoaded(world, WANTED);
    const sent = world.decisions.slice(gained).find(({ kind }) => kind === 'order-sent');
    const gap = 1_000 / worldOptions.loadsPerSecond;
    expect(sent!.at - world.decisions[gained]!.at).toBeGreaterThanOrEqual(gap);
  });

  /*
   * Symptom: an accepted edit takes a minute to begin to take effect.
   * Sequence: all engines are as they should be and looked at rarely; an edit comes into force.
   * Cause: the edit was found at the next look that was due.
   */
  it('follows an edit at once', async () => {
    const options = { observeConverged: 60_000 };
    const world = new PlacementWorld(WANTED, undefined, WANTED, options);
    await world.advance(300_000);
    world.edit(SURPLUS);
    await world.advance(50);
    expect(getKinds(world)).toContain('order-sent');
  });

  /*
   * Symptom: an engine loses a model that the accepted configuration wants.
   * Sequence: an unload is planned; an edit that wants the model comes into force before the send.
   * Cause: the plan was made on the configuration before, and nobody looked again.
   */
  it('drops a planned order when another configuration comes into force', async () => {
    const world = new PlacementWorld(WANTED, undefined, SURPLUS);
    await untilLastLook(world);
    world.edit(SURPLUS);
    await world.advance(60_000);
    expect(getDrops(world)).toEqual([DropReason.ConfigurationChanged]);
    expect(getArrivals(world, 'chat-2')).toEqual([]);
  });

  /*
   * Symptom: callers of a model find no copy of it.
   * Sequence: a copy moved to another engine, which crashes just before the old copy is unloaded.
   * Cause: the plan relied on a look that was out of date.
   */
  it('keeps a copy whose successor crashed since it was seen', async () => {
    const moved: Placements = { 'chat-1': ['a@1'], 'chat-2': ['b@1'] };
    const before: Placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1', 'b@1'] };
    const world = new PlacementWorld(moved, undefined, before);
    await world.until(() => world.engines.get('chat-1')!.looks === 1);
    world.engines.get('chat-1')!.crash();
    await world.until(() => !world.getLoaded()['chat-2']!.includes('a@1'));
    expect(world.getLoaded()['chat-1']).toEqual(['a@1']);
    expect(getDrops(world)).toContain(DropReason.CopyNotConfirmed);
  });

  /*
   * Symptom: the weight store is asked again and again while it refuses.
   * Sequence: it answers 429 with a Retry-After of 20 s.
   * Cause: the time it named was not kept.
   */
  it('leaves the weight store alone for as long as it asks', async () => {
    const world = new PlacementWorld({ 'chat-1': ['a@1'], 'chat-2': ['a@1'] });
    await world.until(() => world.getHolder('chat') !== undefined);
    world.weights.refusesUntil = world.clock.now() + 20_000;
    await untilLoaded(world, WANTED);
    const outcomes = [...world.engines.values()].flatMap(({ arrivals }) =>
      arrivals.map(({ outcome }) => outcome),
    );
    expect(outcomes.sort()).toEqual(['accepted', 'accepted', 'rate-limited']);
  });

  /*
   * Symptom: the weight store and the log fill with orders that lead to nothing.
   * Sequence: an engine refuses a load each time, for instance of a version that doesn't exist.
   * Cause: the order was repeated after each look.
   */
  it('repeats an order that an engine refuses ever more rarely', async () => {
    const world = new PlacementWorld({ 'chat-1': ['a@1'], 'chat-2': ['a@1'] });
    world.engines.get('chat-1')!.refuses = true;
    await world.until(() => world.getLoaded()['chat-2']!.includes('a@1'));
    await world.advance(60_000);
    expect(getArrivals(world, 'chat-1').length).toBeGreaterThan(1);
    expect(getArrivals(world, 'chat-1').length).toBeLessThan(12);
  });

  /*
   * Symptom: more engines of a service load at once than may, right after a take-over.
   * Sequence: a holder with a small budget of looks takes over and has seen only idle engines yet.
   * Cause: it gave orders before it had seen the engine that its predecessor had set to work.
   */
  it('gives no order before it has looked at every engine', async () => {
    const placements = { 'chat-1': ['a@1'], 'chat-2': ['a@1'] };
    const options = { observationBurst: 1, observationsPerSecond: 0.2 };
    const world = new PlacementWorld(placements, undefined, {}, options);
    await world.until(() => getKinds(world).includes('engine-met'));
    await world.advance(4_000);
    expect(getKinds(world)).not.toContain('order-sent');
    await world.until(() => getKinds(world).includes('order-sent'));
    expect(getKinds(world).filter((kind) => kind === 'engine-met')).toHaveLength(2);
  });

  /*
   * Symptom: an engine that checks refuses every order of the rightful holder.
   * Sequence: the replica moves to another service, whose lease was granted earlier than the last.
   * Cause: the number of the lease stayed below what the engine has seen.
   */
  it('asks for a higher number when an engine has seen one', async () => {
    const world = new PlacementWorld({ 'chat-1': ['a@1'] });
    await world.until(() => world.getHolder('chat') !== undefined);
    const { manager } = world.getHolder('chat')!;
    const highest = manager.getFencingNumber('chat')! + 1;
    const order = { kind: 'load' as const, model: 'b', version: '1' };
    world.engines.get('chat-1')!.order({ fencingNumber: highest, orderId: 'x', order }, 'x');
    await untilLoaded(world, { 'chat-1': ['a@1'] });
    expect(manager.getFencingNumber('chat')).toBeGreaterThanOrEqual(highest);
  });

  /*
   * Symptom: nobody gives orders for a lease's span after each planned restart.
   * Sequence: the holder shuts down in good order.
   * Cause: it left the lease to run out.
   */
  it('hands its leases over on shutdown', async () => {
    const world = new PlacementWorld(WANTED, undefined, WANTED);
    await world.until(() => world.getHolder('chat') !== undefined);
    const holder = world.getHolder('chat')!;
    const released = holder.manager.release();
    await world.advance(worldOptions.lease.span - 1_000);
    await released;
    expect(world.getHolder('chat')).toBeDefined();
    expect(world.getHolder('chat')).not.toBe(holder);
  });
});
