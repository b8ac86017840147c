import { getRendezvousOrder } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../lib/config/RelayConfiguration.js';
import { Outcome } from '../lib/decide/messages.js';
import type { PlacementRequest } from '../lib/decide/messages.js';
import { placementOptions } from '../lib/decide/placementOptions.js';
import { CoreFleet } from './CoreFleet.js';
import type { CoreFleetSettings } from './CoreFleet.js';
import { createEngineService, createPrompt, createReplica, createRequest } from './fixtures.js';

/** Time within which all requests of a scenario end: the longest deadline and a reserve. */
const SETTLING_TIME: Milliseconds = 4_000;

/** Latency target of the requests. */
export const LATENCY_TARGET: Milliseconds = 600;

/** A request that can't be in time is refused by then: its target and two daemons that don't respond. */
const MAX_REFUSAL_TIME: Milliseconds = LATENCY_TARGET + 2 * placementOptions.askTimeout;

const SLOTS = 4;

/** Requests of several daemons for engines of one group that state the slowdown of their machines. */
export class AdmissionScenario {
  readonly fleet: CoreFleet;

  readonly daemons: readonly string[];

  /** The placers of the group: the first, the deputy, and the other daemons. */
  readonly order: readonly string[];

  /** Requests whose callers have neither left nor lost their daemon. */
  readonly expected = new Set<string>();

  /** Requests of daemons that have been frozen since. */
  private readonly frozen = new Set<string>();

  private readonly submittedAt = new Map<string, Milliseconds>();

  private count = 0;

  constructor(daemons: number, settings: Partial<CoreFleetSettings> = {}, engines = 2) {
    this.daemons = Array.from({ length: daemons }, (_item, index) => `d-${index}`);
    this.order = getRendezvousOrder('llm', this.daemons);
    this.fleet = new CoreFleet({
      daemons: this.daemons,
      services: [AdmissionScenario.createService()],
      replicas: AdmissionScenario.createReplicas(engines),
      // Some ten requests a second for each engine.
      engine: { slots: SLOTS, prefillTime: 100, streamTime: 150, slowdown: 1 },
      ...settings,
    });
    this.learn();
  }

  private static createService(): RelayService {
    const { engine, ...service } = createEngineService('llm');
    return { ...service, engine: { ...engine!, slots: SLOTS } };
  }

  static createReplicas(count: number): RelayReplica[] {
    return Array.from({ length: count }, (_item, index) =>
      createReplica(`e-${index}`, { service: 'llm', slots: SLOTS }),
    );
  }

  /** The first placer of the group. */
  get placer(): string {
    return this.order[0]!;
  }

  get deputy(): string {
    return this.order[1]!;
  }

  /** A daemon that is neither placer nor deputy. */
  get other(): string {
    return this.order[2]!;
  }

  /** Submits a request with a prompt of its own. @returns its ID */
  submit(daemon: string, parts: Partial<PlacementRequest> = {}): string {
    const id = `r-${this.count}`;
    this.count += 1;
    this.expected.add(id);
    this.submittedAt.set(id, this.fleet.clock.now());
    const request = createRequest(id, {
      service: 'llm',
      prompt: createPrompt([[id, 2_000]]),
      latencyTarget: LATENCY_TARGET,
      deadline: 3_000,
      ...parts,
    });
    this.fleet.submit(daemon, request);
    return id;
  }

  /** Submits requests at a constant rate, at all daemons in turn. @returns their IDs */
  load(perSecond: number, duration: Milliseconds, daemons = this.running): string[] {
    const ids: string[] = [];
    const interval = 1_000 / perSecond;
    for (let sent = 0; sent < (duration / 1_000) * perSecond; sent += 1) {
      const daemon = daemons[sent % daemons.length]!;
      ids.push(this.submit(daemon));
      this.fleet.advance(Math.round((sent + 1) * interval) - Math.round(sent * interval));
    }
    return ids;
  }

  /** Lets all requests end. */
  settle(): void {
    this.fleet.advance(SETTLING_TIME);
  }

  /** Kills a daemon. The callers that it had get no answer. */
  kill(daemon: string): void {
    this.fleet.get(daemon).harness.submitted.forEach((id) => this.expected.delete(id));
    this.fleet.kill(daemon);
  }

  /** Stops a daemon for a while. Nothing is known of when its callers are answered. */
  freeze(daemon: string): void {
    this.fleet.get(daemon).harness.submitted.forEach((id) => this.frozen.add(id));
    this.fleet.freeze(daemon);
  }

  /** Lets all daemons notice which daemons run. */
  notice(): void {
    const names = [...this.fleet.members.keys()];
    this.fleet.members.forEach(({ name, harness }) => {
      this.daemons
        .filter((peer) => !names.includes(peer))
        .forEach((peer) => harness.core.handle({ kind: 'peer-removed', peer }));
      this.fleet.setView(name, names);
    });
    this.fleet.advance(0);
  }

  get running(): string[] {
    return [...this.fleet.members.values()]
      .filter(({ isFrozen }) => !isFrozen)
      .map(({ name }) => name);
  }

  /** Checks that each caller got one answer, that refused requests have not run, and that nothing is left. */
  check(): void {
    const { fleet } = this;
    this.expected.forEach((id) => expect([id, fleet.getResults(id).length]).toEqual([id, 1]));
    const refused = fleet.results.filter(
      ({ id, outcome }) => outcome === Outcome.NotRun && this.expected.has(id),
    );
    expect(refused.filter(({ id }) => fleet.sent.has(id))).toEqual([]);
    const late = refused
      .filter(({ id }) => !this.frozen.has(id))
      .filter(({ id, at }) => at - this.submittedAt.get(id)! > MAX_REFUSAL_TIME);
    expect(late).toEqual([]);
    expect(fleet.counted).toBe(0);
    this.fleet.members.forEach(({ harness }) => {
      const waiting = harness.core.admissionControl.getWaitingCounts();
      waiting.forEach(([, count]) => expect(count).toBe(0));
    });
  }

  /** Checks that load that the engines bear is served whole. */
  checkCalm(): void {
    const ids = this.load(6, 2_000);
    this.settle();
    const kinds = ids.map((id) => this.fleet.getResults(id).map(({ kind }) => kind));
    expect(kinds).toEqual(ids.map(() => ['settle']));
    this.check();
  }

  getCount(ids: readonly string[], kind: 'settle' | 'give-up'): number {
    return ids.flatMap((id) => this.fleet.getResults(id)).filter((result) => result.kind === kind)
      .length;
  }

  /** One request at each daemon, by whose response it hears of the slowdown. */
  private learn(): void {
    this.load(8, this.daemons.length * 125);
    this.fleet.advance(1_500);
  }
}
