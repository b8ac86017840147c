import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createReplica,
  createRequest,
  createService,
} from '../../../test/fixtures.js';
import { RouteKind } from '../../config/RelayConfiguration.js';
import type { RelayReplica, RelayService } from '../../config/RelayConfiguration.js';
import { AttemptEnd } from '../messages.js';

/** Time between two requests, in milliseconds; a small part of what the replicas can serve. */
const INTERVAL = 20;

const SILENCE = 1_500;

/** Time after which a replica that goes on must be used like the others again, in milliseconds. */
const CONTACT_TIME = 3_000;

const OBSERVED_TIME = 5_000;

/** Least share of its fair part of the requests that a replica must get. */
const LEAST_SHARE = 1 / 2;

interface Scenario {
  service: RelayService;
  replicas: readonly RelayReplica[];
  /** Time until the first byte of a response, in milliseconds. */
  latency: number;
  /** Tokens of each prompt; none for a plain service. */
  tokens: number;
}

const PLAIN: Scenario = {
  service: createService('app'),
  replicas: ['i-0', 'i-1', 'i-2'].map((id) => createReplica(id)),
  latency: 40,
  tokens: 0,
};

const ENGINES: Scenario = {
  service: createEngineService('llm'),
  replicas: createEngines(3),
  latency: 130,
  tokens: 2_000,
};

/** Sends requests at a constant rate. One replica holds all responses for a while. */
class SilentReplicaWorld {
  private readonly harness: CoreHarness;

  private count = 0;

  private handled = 0;

  private silentUntil = 0;

  constructor(private readonly scenario: Scenario) {
    this.harness = new CoreHarness([scenario.service], scenario.replicas);
    this.harness.answerLivenessChecks(true);
  }

  get silentReplica(): string {
    return this.scenario.replicas[0]!.id;
  }

  silence(duration: number): void {
    this.silentUntil = this.harness.clock.now() + duration;
  }

  run(duration: number): void {
    for (let elapsed = 0; elapsed < duration; elapsed += INTERVAL) {
      this.submit();
      this.respondToNew();
      this.harness.clock.advance(INTERVAL);
    }
  }

  /** Returns the share of the requests of a period that are sent to the replica that is silent at times. */
  getShare(duration: number): number {
    const before = this.handled;
    this.run(duration);
    const sent = this.harness.getEffects('send').slice(before);
    return sent.filter(({ replica }) => replica.id === this.silentReplica).length / sent.length;
  }

  private submit(): void {
    const { service, tokens } = this.scenario;
    const id = `r-${this.count}`;
    this.count += 1;
    const prompt = tokens === 0 ? undefined : createPrompt([[`own-${id}`, tokens]], 20);
    this.harness.submit(
      createRequest(id, {
        service: service.name,
        kind: prompt === undefined ? RouteKind.Once : RouteKind.Stream,
        isRetryable: false,
        prompt,
        latencyTarget: 600,
        deadline: 5_000,
      }),
    );
  }

  private respondToNew(): void {
    const sent = this.harness.getEffects('send');
    const { clock, core } = this.harness;
    sent.slice(this.handled).forEach(({ id, attempt, replica }) => {
      const held =
        replica.id === this.silentReplica ? Math.max(0, this.silentUntil - clock.now()) : 0;
      clock.setTimer(Math.max(held, this.scenario.latency), () => {
        core.handle({ kind: 'first-byte-received', id, attempt });
        this.harness.end(id, attempt, AttemptEnd.Completed);
      });
    });
    this.handled = sent.length;
  }
}

describe('a replica that was silent for a moment', () => {
  // Guards against a belief about a replica that only requests to this replica could correct.
  it.each([
    ['plain', PLAIN],
    ['engines', ENGINES],
  ])('gets its share of the requests again: %s', (_name, scenario) => {
    const world = new SilentReplicaWorld(scenario);
    const leastShare = LEAST_SHARE / scenario.replicas.length;
    expect(world.getShare(OBSERVED_TIME)).toBeGreaterThan(leastShare);
    world.silence(SILENCE);
    world.run(SILENCE);
    world.run(CONTACT_TIME);
    expect(world.getShare(OBSERVED_TIME)).toBeGreaterThan(leastShare);
  });
});
