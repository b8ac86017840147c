import { getRendezvousOrder } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../lib/config/RelayConfiguration.js';
import { Outcome } from '../lib/decide/messages.js';
import type { PlacementRequest } from '../lib/decide/messages.js';
import { CoreFleet } from './CoreFleet.js';
import type { CoreFleetSettings } from './CoreFleet.js';
import { createEngineService, createPrompt, createReplica, createRequest } from './fixtures.js';

/** Time within which all requests of a scenario end: the longest deadline and a reserve. */
const SETTLING_TIME: Milliseconds = 4_000;

const SLOTS = 4;

/** Latency target of the requests. */
export const LATENCY_TARGET: Milliseconds = 600;

/** Requests of several daemons for engines of one group that state the slowdown of their machines. */
export class AdmissionScenario {
  readonly fleet: CoreFleet;

  readonly daemons: readonly string[];

  /** The placers of the group: the first, the deputy, and the other daemons. */
  readonly order: readonly string[];

  /** Requests whose callers have neither left nor lost their daemon. */
  readonly expected = new Set<string>();

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

  get running(): string[] {
    return [...this.fleet.members.values()]
      .filter(({ isFrozen }) => !isFrozen)
      .map(({ name }) => name);
  }

  /** Forgets the requests of a daemon that is about to be killed. */
  forget(daemon: string): void {
    this.fleet.effects.forEach(({ effect, daemon: from }) => {
      if (from === daemon && 'id' in effect) {
        this.expected.delete(effect.id);
      }
    });
    this.fleet.get(daemon).harness.submitted.forEach((id) => this.expected.delete(id));
  }

  /** Checks that each caller got one answer, that refused requests have not run, and that nothing is left. */
  check(): void {
    const { fleet } = this;
    this.expected.forEach((id) => expect([id, fleet.getResults(id).length]).toEqual([id, 1]));
    const refused = fleet.results.filter(({ outcome }) => outcome === Outcome.NotRun);
    expect(refused.filter(({ id }) => fleet.sent.has(id))).toEqual([]);
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
