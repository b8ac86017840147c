import { CoreHarness } from '../../../../test/CoreHarness.js';
import {
  createEngineService,
  createPrompt,
  createReplica,
  createRequest,
} from '../../../../test/fixtures.js';
import type { PlacementQuery, PlacementRequest } from '../../messages.js';
import { groupLoadOptions } from '../GroupLoads/GroupLoads.js';
import { GroupReason } from '../GroupReason.js';

const DAEMONS = Array.from({ length: 20 }, (_item, index) => `d-${index}`);

const ZONES = ['a', 'b', 'c'];

/** Four engines in each zone, so that each zone is a group. */
const ENGINES = ZONES.flatMap((availabilityZone) =>
  [0, 1, 2, 3].map((index) =>
    createReplica(`e-${availabilityZone}-${index}`, { service: 'llm', availabilityZone }),
  ),
);

const LATENCY_TARGET = 600;

/** A wait at home at which all requests leave it if they can. */
const LONG_WAIT = 2_000;

/** A daemon of a large fleet in the first zone. */
class Member {
  readonly harness = new CoreHarness([createEngineService('llm')], ENGINES, {
    availabilityZone: 'a',
  });

  constructor(isAdmissionControlled = true) {
    const { core } = this.harness;
    core.handle({ kind: 'fleet', self: 'd-0', daemons: DAEMONS });
    if (isAdmissionControlled) {
      const report = { running: 0, waiting: 0, slots: 96, slowdown: 1 };
      core.handle({ kind: 'load', replica: 'e-a-0', report });
    }
  }

  /** Announces the expected waits of the groups of the three zones, each with the given room. */
  announce(waits: readonly number[], room = 10): void {
    const loads = ZONES.map((zone, index) => ({
      group: `llm/${zone}`,
      expectedWait: waits[index]!,
      room,
    }));
    const update = { kind: 'group-loads', service: 'llm', loads } as const;
    this.harness.core.handle({ kind: 'peer-update', peer: 'd-1', update });
  }

  submit(id: string, session = 's', tokens = 4_000): void {
    const parts: [string, number][] = [
      [session, tokens],
      [id, 1_000],
    ];
    this.submitRequest(id, { prompt: createPrompt(parts) });
  }

  submitRequest(id: string, parts: Partial<PlacementRequest>): void {
    const request = { service: 'llm', latencyTarget: LATENCY_TARGET, deadline: 5_000, ...parts };
    this.harness.submit(createRequest(id, request));
  }

  /** Lets the placer that was queried last respond that it has no replica. */
  refuse(): void {
    const { to, query } = this.queries.at(-1)!;
    const update = { kind: 'reply', response: { key: query.key } } as const;
    this.harness.core.handle({ kind: 'peer-update', peer: to, update });
  }

  getChoice(id: string) {
    return this.harness.getEffects('group-chosen').findLast((effect) => effect.id === id);
  }

  get queries(): { to: string; query: PlacementQuery }[] {
    return this.harness
      .getEffects('share')
      .flatMap(({ to, update }) =>
        update.kind === 'ask' ? [{ to: to!, query: update.query }] : [],
      );
  }
}

/** Returns the waits of the groups where that of one group is long. */
function getWaits(group: string): number[] {
  return ZONES.map((zone) => (group === `llm/${zone}` ? LONG_WAIT : 0));
}

function getHome(session: string): string {
  const member = new Member();
  member.submit('probe', session);
  return member.getChoice('probe')!.group;
}

const HOME = getHome('s');

describe('GroupRouter', () => {
  it('sends a request to the home group of its session while loads are unknown', () => {
    const member = new Member();
    member.submit('r');
    expect(member.getChoice('r')).toMatchObject({ home: HOME, reason: GroupReason.Home });
    expect(member.queries.map(({ query }) => query.claim?.group)).toEqual([HOME]);
  });

  // Load pattern: the home group of a session is busy, others are not.
  it('names another group to its placer when the wait at home is long', () => {
    const member = new Member();
    member.announce(getWaits(HOME));
    member.submit('r');
    const choice = member.getChoice('r')!;
    expect(choice).toMatchObject({ home: HOME, reason: GroupReason.Wait });
    expect(choice.group).not.toBe(HOME);
    expect(choice.homeLoad).toMatchObject({ expectedWait: LONG_WAIT, age: 0 });
    expect(member.queries.at(-1)?.query.claim?.group).toBe(choice.group);
  });

  it('keeps a session in one other group, and lets it return when home has room', () => {
    const member = new Member();
    member.announce(getWaits(HOME));
    const ids = Array.from({ length: 40 }, (_item, index) => `r-${index}`);
    ids.forEach((id, index) => member.submit(id, index % 4 === 0 ? 's' : `other-${index}`));
    const groups = ids
      .filter((_id, index) => index % 4 === 0)
      .map((id) => member.getChoice(id)!.group);
    expect(new Set(groups.filter((group) => group !== HOME)).size).toBe(1);
    ['1', '2', '3', '4', '5'].forEach((id) => {
      member.harness.clock.advance(1_000);
      member.announce([0, 0, 0]);
      member.submit(id);
    });
    expect(member.getChoice('5')?.group).toBe(HOME);
    expect(member.getChoice('5')?.reason).toBe(GroupReason.Home);
  });

  // Guards against requests that stay away from home because announcements are lost.
  it('returns home when nothing was announced for a while', () => {
    const member = new Member();
    member.announce(getWaits(HOME));
    member.harness.clock.advance(groupLoadOptions.maxAge + 1);
    member.submit('r');
    expect(member.getChoice('r')?.group).toBe(HOME);
  });

  it('queries the deputy of the same group when the placer does not respond', () => {
    const member = new Member();
    member.announce(getWaits(HOME));
    member.submit('r');
    member.announce([0, 0, 0]);
    member.harness.clock.advance(100);
    const groups = member.queries.map(({ query }) => query.claim?.group);
    expect(groups).toHaveLength(2);
    expect(new Set(groups).size).toBe(1);
  });

  // Load pattern: a group fills up between two announcements.
  it('asks one other group with room when the placer has none, and no third one', () => {
    const member = new Member();
    member.announce([0, 0, 0]);
    member.submit('r');
    member.refuse();
    const next = member.getChoice('r')!;
    expect(next).toMatchObject({ home: HOME, reason: GroupReason.Refused });
    expect(next.group).not.toBe(HOME);
    expect(member.queries.at(-1)?.query.claim?.group).toBe(next.group);
    member.refuse();
    expect(member.harness.getEffects('group-chosen')).toHaveLength(2);
  });

  it.each([
    ['that announces no room', 0, LATENCY_TARGET],
    ['where the request would be late', 10, 50],
  ])('asks no other group %s', (_case, room, latencyTarget) => {
    const member = new Member();
    member.announce([0, 0, 0], room);
    const parts: [string, number][] = [
      ['s', 4_000],
      ['r', 1_000],
    ];
    member.submitRequest('r', { prompt: createPrompt(parts), latencyTarget });
    member.refuse();
    expect(member.harness.getEffects('group-chosen')).toHaveLength(1);
  });

  it('sends requests without a session to groups of its own zone', () => {
    const member = new Member();
    member.announce([0, 0, 0]);
    const ids = Array.from({ length: 20 }, (_item, index) => `r-${index}`);
    ids.forEach((id) => member.submitRequest(id, { prompt: createPrompt([[id, 300]]) }));
    const choices = member.harness.getEffects('group-chosen');
    expect(new Set(choices.map(({ group }) => group))).toEqual(new Set(['llm/a']));
    expect(choices.every(({ reason }) => reason === GroupReason.Room)).toBe(true);
  });

  it('does not leave its zone for a session part that takes less to prefill than to send', () => {
    const member = new Member();
    member.announce([0, 0, 0]);
    const sessions = Array.from({ length: 20 }, (_item, index) => `s-${index}`);
    sessions.forEach((session) => member.submit(`r-${session}`, session, 20));
    const choices = member.harness.getEffects('group-chosen');
    expect(new Set(choices.map(({ group }) => group))).toEqual(new Set(['llm/a']));
  });

  it('places in the group that a query names, or at home if it knows no such group', () => {
    const placeFor = (group: string | undefined) => {
      const member = new Member();
      const prompt = createPrompt([
        ['s', 4_000],
        ['r', 1_000],
      ]);
      const criteria = { service: 'llm', rank: 1, latencyTarget: LATENCY_TARGET, prompt };
      const claim =
        group === undefined
          ? undefined
          : { group, workspace: 'w', fingerprint: 'f', waited: 0, timeLeft: 5_000 };
      const query = { key: 'k', criteria, availabilityZone: 'a', excludedReplicas: [], claim };
      member.harness.core.handle({
        kind: 'peer-update',
        peer: 'd-1',
        update: { kind: 'ask', query },
      });
      const [placed] = member.harness.getEffects('placed-for');
      return placed === undefined ? undefined : `llm/${placed.replica.availabilityZone}`;
    };
    expect(ZONES.map((zone) => placeFor(`llm/${zone}`))).toEqual(
      ZONES.map((zone) => `llm/${zone}`),
    );
    expect(placeFor(undefined)).toBe(HOME);
    expect(placeFor('llm/gone')).toBe(HOME);
  });

  it('always uses the home group for services that are not under admission control', () => {
    const member = new Member(false);
    member.submit('r');
    expect(member.harness.getEffects('group-chosen')).toEqual([]);
    expect(member.queries.at(-1)?.query.claim).toBeUndefined();
  });
});
