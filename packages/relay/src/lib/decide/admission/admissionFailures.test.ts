import { AdmissionScenario } from '../../../test/AdmissionScenario.js';
import { DATAGRAM_DELAY } from '../../../test/CoreFleet.js';
import type { DatagramFate } from '../../../test/CoreFleet.js';
import { Outcome } from '../messages.js';
import type { PlacementUpdate } from '../messages.js';

const SIZES = [3, 20];

/** Requests a second: more than twice what the engines can do. */
const OVERLOAD = 50;

/** Treats every third datagram of a kind differently. */
function createFate(kind: PlacementUpdate['kind'], changed: number[]): DatagramFate {
  let count = 0;
  return (_from, _to, update) => {
    count += update.kind === kind ? 1 : 0;
    return update.kind === kind && count % 3 === 0 ? changed : [DATAGRAM_DELAY];
  };
}

describe.each(SIZES)('admission in a fleet of %d daemons', (size) => {
  // Load pattern: for three seconds, requests at all daemons ask for more than twice what engines can do.
  it('refuses what would be late before it is sent, and serves the rest', () => {
    const scenario = new AdmissionScenario(size);
    const ids = scenario.load(OVERLOAD, 3_000);
    scenario.settle();
    scenario.check();
    // The engines do some twenty requests a second, and hold no more than their slots.
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(55);
    scenario.fleet.engines.forEach(({ mostHeld }) => expect(mostHeld).toBeLessThanOrEqual(4));
    scenario.checkCalm();
  });

  // Guards against requests that wait at a placer that was killed.
  it('asks the deputy when the placer is killed while requests wait', () => {
    const scenario = new AdmissionScenario(size);
    scenario.load(OVERLOAD, 1_000);
    scenario.kill(scenario.placer);
    const ids = scenario.load(OVERLOAD, 1_000);
    scenario.fleet.advance(1_500);
    scenario.notice();
    scenario.settle();
    scenario.check();
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(15);
    scenario.checkCalm();
  });

  // Guards against requests that wait at a placer that does not run, and begin there when it does again.
  it('asks the deputy when the placer is frozen for a while', () => {
    const scenario = new AdmissionScenario(size);
    scenario.load(OVERLOAD, 1_000);
    const { placer } = scenario;
    scenario.freeze(placer);
    scenario.load(OVERLOAD, 1_500);
    scenario.fleet.thaw(placer);
    scenario.load(OVERLOAD, 500);
    scenario.settle();
    scenario.check();
    scenario.checkCalm();
  });

  // Guards against slots and places in the order that are kept for a daemon that is gone.
  it('forgets what waits for a daemon that is killed', () => {
    const scenario = new AdmissionScenario(size);
    scenario.load(OVERLOAD, 1_000, [scenario.other, scenario.placer]);
    scenario.kill(scenario.other);
    scenario.load(OVERLOAD, 1_000);
    scenario.settle();
    scenario.fleet.advance(4_000);
    scenario.check();
    scenario.checkCalm();
  });

  // Guards against requests that begin without being sent, and against two decisions about one request.
  it.each([
    ['responses are lost', createFate('reply', [])],
    ['responses are late', createFate('reply', [150])],
    ['responses are doubled', createFate('reply', [2, 150])],
    ['queries are lost', createFate('ask', [])],
    ['queries are late', createFate('ask', [150])],
    ['queries are doubled', createFate('ask', [2, 150])],
    ['ends are lost', createFate('ended', [])],
    ['ends are late', createFate('ended', [150])],
  ])('answers each caller once when %s', (_name, getFate) => {
    const scenario = new AdmissionScenario(size, { getFate });
    const ids = scenario.load(OVERLOAD, 2_000);
    scenario.settle();
    scenario.check();
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(25);
    scenario.checkCalm();
  });

  // Guards against engines that are filled by two daemons, neither of which knows of the other's choices.
  it('bounds what engines hold when two daemons think that they are the placer', () => {
    const scenario = new AdmissionScenario(size);
    const { daemons, placer, fleet } = scenario;
    const others = daemons.filter((name) => name !== placer);
    others.slice(0, Math.ceil(size / 2)).forEach((name) => fleet.setView(name, others));
    const ids = scenario.load(OVERLOAD, 3_000);
    scenario.settle();
    scenario.check();
    fleet.engines.forEach(({ mostHeld }) => expect(mostHeld).toBeLessThanOrEqual(8));
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(45);
    scenario.notice();
    scenario.checkCalm();
  });

  // Guards against a daemon that holds its requests, or sends them all, when it reaches no placer.
  it('answers the callers of a daemon that is cut off from both placers', () => {
    const cutPaths = new Set<string>();
    const scenario = new AdmissionScenario(size, {
      getFate: (from, to) => (cutPaths.has(`${from} ${to}`) ? [] : [DATAGRAM_DELAY]),
    });
    const { placer, deputy, other } = scenario;
    scenario.load(OVERLOAD, 500);
    [placer, deputy].forEach((name) => cutPaths.add(`${name} ${other}`).add(`${other} ${name}`));
    const ids = scenario.load(OVERLOAD, 2_000, [other, placer]);
    cutPaths.clear();
    scenario.settle();
    scenario.check();
    scenario.fleet.engines.forEach(({ mostHeld }) => expect(mostHeld).toBeLessThanOrEqual(8));
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(30);
    scenario.checkCalm();
  });

  // Guards against a daemon that sends everything on, since it has not heard of the load.
  it('admits a daemon that starts in the middle of the load', () => {
    const scenario = new AdmissionScenario(size);
    const { fleet, other, placer } = scenario;
    scenario.kill(other);
    scenario.notice();
    scenario.load(OVERLOAD, 1_000);
    fleet.start(other);
    scenario.notice();
    scenario.load(OVERLOAD, 2_000, [other, placer]);
    scenario.settle();
    scenario.check();
    scenario.checkCalm();
  });

  // Guards against requests that wait for engines that are gone.
  it('refuses what would be late at the engines that are left', () => {
    const scenario = new AdmissionScenario(size);
    const { fleet } = scenario;
    scenario.load(OVERLOAD, 1_000);
    fleet.engines.get('e-0')!.crash();
    fleet.setReplicas(AdmissionScenario.createReplicas(2).slice(1));
    const ids = scenario.load(OVERLOAD, 1_000);
    // One engine does ten requests a second.
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(2);
    fleet.engines.get('e-1')!.crash();
    fleet.setReplicas([]);
    fleet.advance(200);
    expect(ids.filter((id) => fleet.getResults(id).length !== 1)).toEqual([]);
    fleet.engines.forEach((engine) => Object.assign(engine, { isUp: true }));
    fleet.setReplicas(AdmissionScenario.createReplicas(2));
    scenario.settle();
    scenario.check();
    scenario.checkCalm();
  });

  // Guards against times of one daemon that another reads by its own clock.
  it('decides the same whatever the clocks of daemons show', () => {
    const play = (getStart?: (daemon: string) => number) => {
      const scenario = new AdmissionScenario(size, { getStart });
      scenario.load(OVERLOAD, 2_000);
      scenario.settle();
      scenario.check();
      return scenario.fleet.results.map(({ id, kind, at }) => [id, kind, at]);
    };
    expect(play((daemon) => 86_400_000 * Number(daemon.slice(2)))).toEqual(play());
  });

  // Guards against a place in the order that is kept for a caller that has left.
  it('withdraws requests whose callers leave while they wait', () => {
    const scenario = new AdmissionScenario(size);
    const { fleet } = scenario;
    const ids = scenario.load(OVERLOAD, 1_000);
    const waiting = ids.filter((id) => fleet.getResults(id).length === 0 && !fleet.sent.has(id));
    expect(waiting.length).toBeGreaterThan(0);
    fleet.members.forEach(({ harness }) =>
      waiting.forEach((id) => harness.core.handle({ kind: 'caller-left', id })),
    );
    waiting.forEach((id) => scenario.expected.delete(id));
    fleet.advance(20);
    const counts = [...fleet.members.values()].flatMap(({ harness }) =>
      harness.core.admissionControl.getWaitingCounts(),
    );
    expect(counts.filter(([, count]) => count > 0)).toEqual([]);
    scenario.settle();
    expect(waiting.filter((id) => fleet.sent.has(id))).toEqual([]);
    scenario.check();
    scenario.checkCalm();
  });

  // Guards against a request that runs again though it may not, and one that is lost after a failed attempt.
  it('asks for admission again after an attempt that broke', () => {
    const scenario = new AdmissionScenario(size);
    const { fleet } = scenario;
    const before = scenario.load(OVERLOAD, 1_000);
    fleet.engines.get('e-0')!.crash();
    fleet.engines.get('e-0')!.isUp = true;
    scenario.load(OVERLOAD, 500);
    scenario.settle();
    scenario.check();
    const unknown = before
      .flatMap((id) => fleet.getResults(id))
      .filter(({ outcome }) => outcome === Outcome.Unknown);
    expect(unknown.length).toBeLessThanOrEqual(4);
    scenario.checkCalm();
  });
});
