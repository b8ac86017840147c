import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';
import type { PlacementQuery, PlacementResponse, PlacementUpdate } from '../messages.js';
import { placementOptions } from '../placementOptions.js';

const DAEMONS = Array.from({ length: 20 }, (_item, index) => `d-${index}`);

const ENGINES = createEngines(4);

type UpdateOf<K extends PlacementUpdate['kind']> = Extract<PlacementUpdate, { kind: K }>;

/** One daemon of a fleet of twenty. */
class Member {
  readonly harness = new CoreHarness([createEngineService('llm')], ENGINES);

  constructor(readonly name: string) {
    this.harness.core.handle({ kind: 'fleet', self: name, daemons: DAEMONS });
  }

  submit(id: string, session = 's'): void {
    const prompt = createPrompt([
      [session, 2_000],
      [id, 3_000],
    ]);
    this.harness.submit(createRequest(id, { service: 'llm', prompt, deadline: 5_000 }));
  }

  receive(peer: string, update: PlacementUpdate): void {
    this.harness.core.handle({ kind: 'peer-update', peer, update });
  }

  /** Returns the shared updates of one kind, with the daemon that each was sent to. */
  getShared<K extends PlacementUpdate['kind']>(
    kind: K,
  ): { to: string | undefined; update: UpdateOf<K> }[] {
    return this.harness
      .getEffects('share')
      .filter((effect) => effect.update.kind === kind)
      .map(({ to, update }) => ({ to, update: update as UpdateOf<K> }));
  }

  get queries(): { to: string; query: PlacementQuery }[] {
    return this.getShared('ask').map(({ to, update }) => ({ to: to!, query: update.query }));
  }
}

/** Creates a member that is not a placer of the group, and finds the group's placer and deputy. */
function createMember() {
  const names = [...DAEMONS];
  for (;;) {
    const member = new Member(names.shift()!);
    member.submit('probe');
    const [first] = member.queries;
    member.harness.clock.advance(placementOptions.askTimeout);
    const [, second] = member.queries;
    member.harness.clock.advance(60_000);
    if (first !== undefined && second !== undefined) {
      return { member: new Member(member.name), placer: first.to, deputy: second.to };
    }
  }
}

describe('a daemon of a large fleet', () => {
  it('sends a request to the replica that the placer chose, and notifies only the placer', () => {
    const { member, placer } = createMember();
    member.submit('r');
    const { to, query } = member.queries[0]!;
    expect(to).toBe(placer);
    expect(member.harness.getEffects('send')).toEqual([]);
    const placement = {
      replica: 'e-3',
      expected: 90,
      missingTokens: 3_000,
      tokensAhead: 4_000,
      copyTime: 12,
      fetchFrom: 'e-1',
      fetchTokens: 1_900,
    };
    member.receive(to, { kind: 'reply', response: { key: query.key, placement } });
    expect(member.harness.getEffects('send')).toMatchObject([
      {
        replica: { id: 'e-3' },
        choice: { expected: 90, fetchFrom: { id: 'e-1' }, placer: { daemon: placer } },
      },
    ]);
    member.harness.core.handle({ kind: 'first-byte-received', id: 'r', attempt: 1 });
    member.harness.end('r', 1, AttemptEnd.Completed);
    expect(member.getShared('first-byte-received')).toEqual([
      { to: placer, update: { kind: 'first-byte-received', key: query.key } },
    ]);
    expect(member.getShared('ended')).toMatchObject([
      { to: placer, update: { key: query.key, result: { end: AttemptEnd.Completed } } },
    ]);
    expect(member.harness.getEffects('share').every((effect) => effect.to === placer)).toBe(true);
  });

  // Guards against requests that wait for a killed placer until the daemon notices that it is gone.
  it('queries the deputy when the placer does not respond, then chooses a replica itself', () => {
    const { member, placer, deputy } = createMember();
    member.submit('r');
    member.harness.clock.advance(placementOptions.askTimeout);
    expect(member.queries.map(({ to }) => to)).toEqual([placer, deputy]);
    member.harness.clock.advance(placementOptions.askTimeout);
    expect(member.harness.getEffects('send')).toHaveLength(1);
    expect(member.harness.getEffects('placer-silent').map(({ peer }) => peer)).toEqual([
      placer,
      deputy,
    ]);
    // The placer is notified in case it runs again; placer and deputy are not queried in their backoff.
    expect(member.getShared('placed')).toMatchObject([{ to: placer }]);
    member.submit('next');
    expect(member.queries).toHaveLength(2);
    expect(member.harness.getAttemptedReplicas('next')).toHaveLength(1);
    member.harness.clock.advance(placementOptions.silentPlacer);
    member.submit('later');
    expect(member.queries.at(-1)!.to).toBe(placer);
  });

  it('releases a placement whose response arrives after the request ended', () => {
    const { member, placer } = createMember();
    member.submit('r');
    const { query } = member.queries[0]!;
    member.harness.core.handle({ kind: 'caller-left', id: 'r' });
    expect(member.getShared('ended')).toEqual([
      { to: placer, update: { kind: 'ended', key: query.key } },
    ]);
    const placement = {
      replica: 'e-3',
      expected: 9,
      missingTokens: 0,
      tokensAhead: 0,
      copyTime: 0,
    };
    member.receive(placer, { kind: 'reply', response: { key: query.key, placement } });
    expect(member.harness.getEffects('send')).toEqual([]);
    expect(member.getShared('ended')).toHaveLength(2);
  });

  // Guards against new requests for a draining replica while the placer's watch of the store lags
  // behind.
  it('does not send to a replica that it knows to be draining, even if the placer chose it', () => {
    const { member, placer } = createMember();
    member.harness.core.handle({
      kind: 'replicas',
      replicas: ENGINES.map((engine) => ({ ...engine, isDraining: engine.id === 'e-3' })),
    });
    member.submit('r');
    const { query } = member.queries[0]!;
    const placement = {
      replica: 'e-3',
      expected: 9,
      missingTokens: 0,
      tokensAhead: 0,
      copyTime: 0,
    };
    member.receive(placer, { kind: 'reply', response: { key: query.key, placement } });
    expect(member.harness.getAttemptedReplicas('r')).not.toContain('e-3');
    expect(member.getShared('ended')).toMatchObject([{ to: placer, update: { key: query.key } }]);
    expect(member.queries).toHaveLength(2);
  });

  it('queries another daemon immediately when a placer has no replica', () => {
    const { member } = createMember();
    member.submit('r');
    const { to, query } = member.queries[0]!;
    member.receive(to, { kind: 'reply', response: { key: query.key } });
    expect(member.queries).toHaveLength(2);
  });

  // Load pattern: prompts of many daemons for one group of engines. If attempts were announced to all a
  // second later, each engine would look idle to every daemon; a placer counts each from its choice on.
  it('considers its earlier choices when it chooses for peers', () => {
    const { placer } = createMember();
    const placerMember = new Member(placer);
    const choose = (peer: string, key: string) => {
      const criteria = {
        service: 'llm',
        rank: 1,
        latencyTarget: 600,
        prompt: createPrompt([[`own-${peer}-${key}`, 3_000]]),
      };
      const query = { key, criteria, availabilityZone: '', excludedReplicas: [] };
      placerMember.receive(peer, { kind: 'ask', query });
      return placerMember.getShared('reply').at(-1)!.update.response.placement!;
    };
    const first = DAEMONS.slice(0, 4).map((peer) => choose(peer, 'a'));
    expect(new Set(first.map(({ replica }) => replica)).size).toBe(4);
    const second = choose('d-9', 'a');
    expect(second.tokensAhead).toBeGreaterThan(4_000);
    // The engine is free again after the end of the attempt.
    const index = first.findIndex(({ replica }) => replica !== second.replica);
    placerMember.receive(`d-${index}`, { kind: 'first-byte-received', key: 'a' });
    const result = { end: AttemptEnd.Completed, duration: 100 };
    placerMember.receive(`d-${index}`, { kind: 'ended', key: 'a', result });
    expect(choose('d-10', 'a').replica).toBe(first[index]!.replica);
    expect(placerMember.harness.getEffects('placed-for')).toHaveLength(6);
  });

  it('removes the attempts of a peer that is gone, or that no longer lists them', () => {
    const { placer } = createMember();
    const placerMember = new Member(placer);
    const criteria = {
      service: 'llm',
      rank: 1,
      latencyTarget: 600,
      prompt: createPrompt([['own', 3_000]]),
    };
    const getRunning = () =>
      placerMember.harness.core.registry
        .getService('llm')
        .getReplicasInService()
        .reduce((sum, { running }) => sum + running.size, 0);
    ['d-0', 'd-1'].forEach((peer) => {
      const query = { key: 'a', criteria, availabilityZone: '', excludedReplicas: [] };
      placerMember.receive(peer, { kind: 'ask', query });
    });
    // This list may have been written before the peer received the placement.
    placerMember.receive('d-0', { kind: 'attempt-list', attempts: [] });
    expect(getRunning()).toBe(2);
    placerMember.harness.clock.advance(1_000);
    placerMember.receive('d-0', { kind: 'attempt-list', attempts: [] });
    expect(getRunning()).toBe(1);
    placerMember.harness.core.handle({ kind: 'peer-removed', peer: 'd-1' });
    expect(getRunning()).toBe(0);
  });

  it('follows the caches of the engines for which it is placer or deputy, and no others', () => {
    const { member, placer, deputy } = createMember();
    const getFollowed = (name: string) =>
      [...(new Member(name).harness.getEffects('follow-caches').at(-1)?.engines ?? [])].sort();
    const all = ENGINES.map(({ id }) => id);
    expect(getFollowed(placer)).toEqual(all);
    expect(getFollowed(deputy)).toEqual(all);
    expect(getFollowed(member.name)).toEqual([]);
  });

  describe('with an attempt at a silent replica', () => {
    const SENT = { replica: 'e-0', expected: 90, missingTokens: 0, tokensAhead: 0, copyTime: 0 };

    function createSilent(): { member: Member; placer: string } {
      const { member, placer } = createMember();
      member.submit('r');
      const { query } = member.queries[0]!;
      member.receive(placer, { kind: 'reply', response: { key: query.key, placement: SENT } });
      while (member.queries.length === 1) {
        member.harness.clock.advance(10);
      }
      return { member, placer };
    }

    function reply(member: Member, placer: string, response: Partial<PlacementResponse>): void {
      const { key } = member.queries.at(-1)!.query;
      member.receive(placer, { kind: 'reply', response: { key, ...response } });
    }

    // Guards against an attempt that is ended before the placer has another replica for the request.
    it('ends it only once the placer has chosen another replica', () => {
      const { member, placer } = createSilent();
      expect(member.harness.getEffects('cancel')).toEqual([]);
      reply(member, placer, { placement: { ...SENT, replica: 'e-1' } });
      expect(member.harness.getEffects('cancel')).toMatchObject([{ id: 'r', attempt: 1 }]);
      expect(member.harness.getAttemptedReplicas('r')).toEqual(['e-0', 'e-1']);
    });

    // Guards against a request that is lost because its placer refuses to let it begin again.
    it('keeps it if the placer refuses the request', () => {
      const { member, placer } = createSilent();
      reply(member, placer, { refused: { retryAfter: 500 } });
      expect(member.harness.getEffects('cancel')).toEqual([]);
      expect(member.harness.getEffects('give-up')).toEqual([]);
      member.harness.core.handle({ kind: 'first-byte-received', id: 'r', attempt: 1 });
      member.harness.end('r', 1, AttemptEnd.Completed);
      expect(member.harness.getEffects('settle')).toMatchObject([{ id: 'r', attempt: 1 }]);
    });

    // Guards against an attempt that is ended although its replica has begun to respond meanwhile.
    it('keeps it if its replica responds before the placer', () => {
      const { member, placer } = createSilent();
      const [service, before] = member.harness.core.registry.getRemainingRetries()[0]!;
      member.harness.core.handle({ kind: 'first-byte-received', id: 'r', attempt: 1 });
      reply(member, placer, { placement: { ...SENT, replica: 'e-1' } });
      expect(member.harness.getEffects('cancel')).toEqual([]);
      expect(member.harness.getAttemptedReplicas('r')).toEqual(['e-0']);
      const retries = new Map(member.harness.core.registry.getRemainingRetries());
      expect(retries.get(service)).toBe(before + 1);
    });
  });
});
