import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import {
  createEngineService,
  createPrompt,
  createReplica,
  createRequest,
} from '../../../test/fixtures.js';
import { Fleet } from '../Fleet/Fleet.js';
import { AttemptEnd } from '../messages.js';
import type { GroupLoad, PlacementEffect, PlacementUpdate } from '../messages.js';
import { PlacementCore } from '../PlacementCore/PlacementCore.js';
import type { ReplicaGroup } from './getReplicaGroups.js';

const ZONES = ['a', 'b', 'c'];

const DAEMONS = Array.from({ length: 18 }, (_item, index) => `d-${index}`);

const ENGINES = ZONES.flatMap((availabilityZone) =>
  [0, 1, 2, 3, 4].map((index) =>
    createReplica(`e-${availabilityZone}-${index}`, { service: 'llm', availabilityZone }),
  ),
);

const PREFILL_RATE = 40;
const SLOTS = 16;
const SESSION_TOKENS = 2_000;
const OWN_TOKENS = 2_400;
const LATENCY_TARGET: Milliseconds = 600;
/** Time from the first byte of a response to its end. */
const STREAM_TIME: Milliseconds = 200;
const LINK_DELAY: Milliseconds = 1;
const SECOND: Milliseconds = 1_000;

/** Requests per second that the engines of a zone can prefill. */
const ZONE_CAPACITY = (5 * PREFILL_RATE * SECOND) / OWN_TOKENS;

/** Demand of each zone, as a part of what its engines can do. */
const CALM = [0.5, 0.5, 0.5];
const SURGE = [1.5, 0.5, 0.5];

type Send = Extract<PlacementEffect, { kind: 'send' }>;

/** An engine that prefills one prompt after the other, and keeps all sessions cached. */
interface Engine {
  running: number;
  /** When the prompts that it has are prefilled. */
  freeAt: Milliseconds;
  cached: Set<string>;
}

/** Returns the time at which the prompt of a request is prefilled. */
function prefill(engine: Engine, session: string, now: Milliseconds): Milliseconds {
  const { cached, freeAt } = engine;
  const tokens = OWN_TOKENS + (cached.has(session) ? 0 : SESSION_TOKENS);
  cached.add(session);
  const prefilledAt = Math.max(now, freeAt) + tokens / PREFILL_RATE;
  Object.assign(engine, { freeAt: prefilledAt });
  return prefilledAt;
}

/** Daemons in three zones, engines, and a network that loses nothing. */
class ZoneFleet {
  private readonly clock = new ManualClock();

  private readonly engines = new Map(
    ENGINES.map(({ id }): [string, Engine] => [id, { running: 0, freeAt: 0, cached: new Set() }]),
  );

  private readonly cores = new Map<string, PlacementCore>();

  private readonly sessions = new Map<string, string>();

  private readonly arrivals = new Map<string, Milliseconds>();

  private readonly groups: readonly ReplicaGroup[];

  private count = 0;

  /** Requests of the current span, by ID: whether their first token was in time. */
  private readonly inTime = new Map<string, boolean>();

  private choices: Extract<PlacementEffect, { kind: 'group-chosen' }>[] = [];

  /**
   * @param sessionCount - number of sessions that have their home in each zone
   * @param hearing - the daemons that the announcements of loads reach
   */
  constructor(
    private readonly sessionCount = 8,
    private readonly hearing: readonly string[] = DAEMONS,
  ) {
    DAEMONS.forEach((name, index) => {
      const core = new PlacementCore({
        clock: this.clock,
        emit: (effect) => this.perform(name, effect),
        options: { availabilityZone: ZONES[index % ZONES.length]! },
      });
      this.cores.set(name, core);
      core.handle({ kind: 'services', services: [createEngineService('llm')] });
      core.handle({ kind: 'replicas', replicas: ENGINES });
      core.handle({ kind: 'fleet', self: name, daemons: DAEMONS });
      ENGINES.forEach(({ id }) => this.reportLoad(core, id));
    });
    this.groups = [...this.cores.values()][0]!.registry.getService('llm').groups;
    this.announce();
  }

  /**
   * Plays a span in which the sessions of each zone's home group ask for a part of what the engines of
   * the zone can do.
   *
   * @returns the part of all requests that was in time, the part that was sent to its home group, and the
   *   number of groups that the sessions of the first zone were sent to
   */
  play(duration: Milliseconds, demand: readonly number[]) {
    this.inTime.clear();
    this.choices = [];
    ZONES.forEach((zone, index) => {
      const interval = SECOND / (ZONE_CAPACITY * demand[index]!);
      for (let at = interval / 2; at < duration; at += interval) {
        this.clock.setTimer(at, () => this.submit(zone));
      }
    });
    this.clock.advance(duration);
    // Requests of the last moments get their response, too.
    this.clock.advance(LATENCY_TARGET);
    const results = [...this.inTime.values()];
    const ofFirstZone = this.choices.filter(({ home }) => home === `llm/${ZONES[0]!}`);
    const atHome = this.choices.filter(({ group, home }) => group === home).length;
    return {
      inTime: results.filter((isInTime) => isInTime).length / results.length,
      atHome: atHome / this.choices.length,
      groups: new Set(ofFirstZone.map(({ group }) => group)).size,
    };
  }

  /** Submits a request of one of the sessions that have their home in a zone, in that zone. */
  private submit(zone: string): void {
    this.count += 1;
    const id = `r-${this.count}`;
    const session = this.getSession(zone, this.count % this.sessionCount);
    const daemon = DAEMONS[ZONES.indexOf(zone) + 3 * (this.count % 6)]!;
    this.sessions.set(id, session);
    this.inTime.set(id, false);
    const arrivedAt = this.clock.now();
    this.arrivals.set(id, arrivedAt);
    const prompt = createPrompt([
      [session, SESSION_TOKENS],
      [id, OWN_TOKENS],
    ]);
    const timing = { arrivedAt, deadline: arrivedAt + 10 * SECOND, latencyTarget: LATENCY_TARGET };
    const request = createRequest(id, { service: 'llm', prompt, ...timing });
    this.cores.get(daemon)!.handle({ kind: 'submit', request });
  }

  /** Finds the session with the given number among those whose home is in a zone. */
  private getSession(zone: string, number: number): string {
    const service = this.cores.get(DAEMONS[0]!)!.registry.getService('llm');
    let found = -1;
    for (let index = 0; ; index += 1) {
      const prompt = createPrompt([
        [`s-${index}`, 1],
        ['own', 1],
      ]);
      const criteria = { service: 'llm', rank: 1, latencyTarget: LATENCY_TARGET, prompt };
      found += service.getRequestGroup(criteria, '')?.name === `llm/${zone}` ? 1 : 0;
      if (found === number) {
        return `s-${index}`;
      }
    }
  }

  private perform(daemon: string, effect: PlacementEffect): void {
    if (effect.kind === 'send') {
      this.send(daemon, effect);
    } else if (effect.kind === 'group-chosen') {
      this.choices.push(effect);
    } else if (effect.kind === 'share') {
      const recipients = DAEMONS.filter((name) => name !== daemon && (effect.to ?? name) === name);
      this.clock.setTimer(LINK_DELAY, () =>
        recipients.forEach((name) =>
          this.cores
            .get(name)!
            .handle({ kind: 'peer-update', peer: daemon, update: effect.update }),
        ),
      );
    }
  }

  private send(daemon: string, { id, attempt, replica }: Send): void {
    const engine = this.engines.get(replica.id)!;
    const core = this.cores.get(daemon)!;
    const now = this.clock.now();
    engine.running += 1;
    const firstByteIn = prefill(engine, this.sessions.get(id)!, now) - now;
    this.clock.setTimer(firstByteIn, () => {
      const arrivedAt = this.arrivals.get(id)!;
      if (this.inTime.has(id)) {
        this.inTime.set(id, this.clock.now() <= arrivedAt + LATENCY_TARGET);
      }
      this.reportLoad(core, replica.id);
      core.handle({ kind: 'first-byte-received', id, attempt });
    });
    this.clock.setTimer(firstByteIn + STREAM_TIME, () => {
      engine.running -= 1;
      core.handle({ kind: 'attempt-ended', id, attempt, end: AttemptEnd.Completed });
    });
  }

  private reportLoad(core: PlacementCore, replica: string): void {
    const { running } = this.engines.get(replica)!;
    const report = { running, waiting: 0, slots: SLOTS, slowdown: 1 };
    core.handle({ kind: 'load', replica, report });
  }

  /** Announces the load of each group in the name of its placer, each second. */
  private announce(): void {
    const fleet = new Fleet();
    fleet.update('', DAEMONS);
    this.groups.forEach((group) => {
      const [placer] = fleet.getPlacers(group.name);
      const update: PlacementUpdate = {
        kind: 'group-loads',
        service: 'llm',
        loads: [this.getLoad(group)],
      };
      this.hearing.forEach((name) =>
        this.cores.get(name)!.handle({ kind: 'peer-update', peer: placer!, update }),
      );
    });
    this.clock.setTimer(SECOND, () => this.announce());
  }

  private getLoad({ name, replicas }: ReplicaGroup): GroupLoad {
    const engines = replicas.map(({ replica }) => this.engines.get(replica.id)!);
    const waits = engines.map(({ freeAt }) => Math.max(0, freeAt - this.clock.now()));
    // Prompts that an engine can begin to prefill in time if they arrive now.
    const prompts = waits.map((wait) =>
      Math.max(0, Math.floor((LATENCY_TARGET - wait) / (OWN_TOKENS / PREFILL_RATE)) - 1),
    );
    const room = prompts.reduce((sum, count) => sum + count, 0);
    return { group: name, expectedWait: Math.min(...waits), room };
  }
}

describe('a fleet of three zones', () => {
  // Load pattern: the demand of one zone rises to three times the usual one, while the others are calm.
  it('serves nine tenths in time, and lets the work return when the zone is calm again', () => {
    const fleet = new ZoneFleet();
    const calm = fleet.play(3 * SECOND, CALM);
    const surge = fleet.play(8 * SECOND, SURGE);
    fleet.play(3 * SECOND, CALM);
    const after = fleet.play(3 * SECOND, CALM);

    expect(calm.inTime).toBeGreaterThan(0.98);
    expect(surge.inTime).toBeGreaterThan(0.9);
    expect(after.inTime).toBeGreaterThan(0.98);
    expect(after.atHome).toBeGreaterThan(0.98);
  });

  // Load pattern: one session asks for more than the engines of its home group can do.
  it('gives a hot session homes in further groups while it is hot', () => {
    const fleet = new ZoneFleet(1);
    expect(fleet.play(3 * SECOND, CALM).groups).toBe(1);
    const surge = fleet.play(8 * SECOND, SURGE);
    expect(surge.inTime).toBeGreaterThan(0.9);
    expect(surge.groups).toBeGreaterThan(1);
    fleet.play(3 * SECOND, CALM);
    expect(fleet.play(3 * SECOND, CALM).groups).toBe(1);
  });

  // Guards against daemons that crowd out each other because some don't hear the loads of groups.
  it('serves nine tenths in time when the loads of groups do not reach a third of the daemons', () => {
    const fleet = new ZoneFleet(
      8,
      DAEMONS.filter((_name, index) => Math.floor(index / 3) % 3 > 0),
    );
    fleet.play(3 * SECOND, CALM);
    const surge = fleet.play(8 * SECOND, SURGE);
    expect(surge.inTime).toBeGreaterThan(0.9);
  });
});
