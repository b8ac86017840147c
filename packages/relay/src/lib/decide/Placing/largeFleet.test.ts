import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';
import type { PlacementQuery, PlacementUpdate } from '../messages.js';
import { placementOptions } from '../placementOptions.js';

const DAEMONS = Array.from({ length: 20 }, (_item, index) => `d-${index}`);

const ENGINES = createEngines(4);

type NewsOf<K extends PlacementUpdate['kind']> = Extract<PlacementUpdate, { kind: K }>;

/** One daemon of twenty. */
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

  hear(peer: string, news: PlacementUpdate): void {
    this.harness.core.handle({ kind: 'peer-update', peer, update: news });
  }

  /** News of one kind, with the daemon that each was for. */
  getTold<K extends PlacementUpdate['kind']>(
    kind: K,
  ): { to: string | undefined; news: NewsOf<K> }[] {
    return this.harness
      .get('share')
      .filter((effect) => effect.update.kind === kind)
      .map(({ to, update: news }) => ({ to, news: news as NewsOf<K> }));
  }

  get asks(): { to: string; ask: PlacementQuery }[] {
    return this.getTold('ask').map(({ to, news }) => ({ to: to!, ask: news.query }));
  }
}

/** A member that doesn't choose for the group itself, its placer and the deputy. */
function createMember() {
  const names = [...DAEMONS];
  for (;;) {
    const member = new Member(names.shift()!);
    member.submit('probe');
    const [first] = member.asks;
    member.harness.clock.advance(placementOptions.askTimeout);
    const [, second] = member.asks;
    member.harness.clock.advance(60_000);
    if (first !== undefined && second !== undefined) {
      return { member: new Member(member.name), placer: first.to, deputy: second.to };
    }
  }
}

describe('a daemon of a large fleet', () => {
  it('sends a request where the placer of its group says, and tells that one alone', () => {
    const { member, placer } = createMember();
    member.submit('r');
    const { to, ask } = member.asks[0]!;
    expect(to).toBe(placer);
    expect(member.harness.get('send')).toEqual([]);
    const placement = {
      replica: 'e-3',
      expected: 90,
      missingTokens: 3_000,
      tokensAhead: 4_000,
      copyTime: 12,
      fetchFrom: 'e-1',
      fetchTokens: 1_900,
    };
    member.hear(to, { kind: 'reply', response: { key: ask.key, placement } });
    expect(member.harness.get('send')).toMatchObject([
      {
        replica: { id: 'e-3' },
        choice: { expected: 90, fetchFrom: { id: 'e-1' }, placer: { daemon: placer } },
      },
    ]);
    member.harness.core.handle({ kind: 'first-byte-received', id: 'r', attempt: 1 });
    member.harness.end('r', 1, AttemptEnd.Completed);
    expect(member.getTold('first-byte-received')).toEqual([
      { to: placer, news: { kind: 'first-byte-received', key: ask.key } },
    ]);
    expect(member.getTold('ended')).toMatchObject([
      { to: placer, news: { key: ask.key, result: { end: AttemptEnd.Completed } } },
    ]);
    expect(member.harness.get('share').every((effect) => effect.to === placer)).toBe(true);
  });

  // Symptom: requests wait for a daemon that was killed. Sequence: the placer ends, its groups' daemons
  // have not noticed yet. Without the deputy and the own choice behind it they would wait until then.
  it('asks the deputy when the placer is silent, then chooses itself', () => {
    const { member, placer, deputy } = createMember();
    member.submit('r');
    member.harness.clock.advance(placementOptions.askTimeout);
    expect(member.asks.map(({ to }) => to)).toEqual([placer, deputy]);
    member.harness.clock.advance(placementOptions.askTimeout);
    expect(member.harness.get('send')).toHaveLength(1);
    expect(member.harness.get('placer-silent').map(({ peer }) => peer)).toEqual([placer, deputy]);
    // Whoever comes back is told of it; until then neither is asked.
    expect(member.getTold('placed')).toMatchObject([{ to: placer }]);
    member.submit('next');
    expect(member.asks).toHaveLength(2);
    expect(member.harness.getReplicas('next')).toHaveLength(1);
    member.harness.clock.advance(placementOptions.silentPlacer);
    member.submit('later');
    expect(member.asks.at(-1)!.to).toBe(placer);
  });

  it('tells a placer whose answer comes too late that nothing is sent', () => {
    const { member, placer } = createMember();
    member.submit('r');
    const { ask } = member.asks[0]!;
    member.harness.core.handle({ kind: 'caller-left', id: 'r' });
    expect(member.getTold('ended')).toEqual([
      { to: placer, news: { kind: 'ended', key: ask.key } },
    ]);
    const placement = {
      replica: 'e-3',
      expected: 9,
      missingTokens: 0,
      tokensAhead: 0,
      copyTime: 0,
    };
    member.hear(placer, { kind: 'reply', response: { key: ask.key, placement } });
    expect(member.harness.get('send')).toEqual([]);
    expect(member.getTold('ended')).toHaveLength(2);
  });

  // Symptom: a replica that is about to leave gets new requests. Sequence: the placer's watch of the
  // store is behind. Cause: the placer's word was taken for more than advice.
  it('sends nothing to a replica that it knows to leave, whatever the placer says', () => {
    const { member, placer } = createMember();
    member.harness.core.handle({
      kind: 'replicas',
      replicas: ENGINES.map((engine) => ({ ...engine, isDraining: engine.id === 'e-3' })),
    });
    member.submit('r');
    const { ask } = member.asks[0]!;
    const placement = {
      replica: 'e-3',
      expected: 9,
      missingTokens: 0,
      tokensAhead: 0,
      copyTime: 0,
    };
    member.hear(placer, { kind: 'reply', response: { key: ask.key, placement } });
    expect(member.harness.getReplicas('r')).not.toContain('e-3');
    expect(member.getTold('ended')).toMatchObject([{ to: placer, news: { key: ask.key } }]);
    expect(member.asks).toHaveLength(2);
  });

  it('says at once that it knows of no replica, so that another is asked', () => {
    const { member } = createMember();
    member.submit('r');
    const { to, ask } = member.asks[0]!;
    member.hear(to, { kind: 'reply', response: { key: ask.key } });
    expect(member.asks).toHaveLength(2);
  });

  // Load pattern: prompts of many daemons for one group of engines. Told to all a second later, each
  // engine looks idle to everyone; the placer counts each from the moment at which it chose.
  it('chooses for others by all that it has chosen before', () => {
    const { placer } = createMember();
    const chooser = new Member(placer);
    const choose = (peer: string, key: string) => {
      const wish = {
        service: 'llm',
        rank: 1,
        latencyTarget: 600,
        prompt: createPrompt([[`own-${peer}-${key}`, 3_000]]),
      };
      const ask = { key, wish, availabilityZone: '', tried: [] };
      chooser.hear(peer, { kind: 'ask', query: ask });
      return chooser.getTold('reply').at(-1)!.news.response.placement!;
    };
    const first = DAEMONS.slice(0, 4).map((peer) => choose(peer, 'a'));
    expect(new Set(first.map(({ replica }) => replica)).size).toBe(4);
    const second = choose('d-9', 'a');
    expect(second.tokensAhead).toBeGreaterThan(4_000);
    // Its daemon has read it; what ended frees its place.
    const index = first.findIndex(({ replica }) => replica !== second.replica);
    chooser.hear(`d-${index}`, { kind: 'first-byte-received', key: 'a' });
    const result = { end: AttemptEnd.Completed, after: 100 };
    chooser.hear(`d-${index}`, { kind: 'ended', key: 'a', result });
    expect(choose('d-10', 'a').replica).toBe(first[index]!.replica);
    expect(chooser.harness.get('placed-for')).toHaveLength(6);
  });

  it('forgets what a daemon has under way when that is gone, or says so', () => {
    const { placer } = createMember();
    const chooser = new Member(placer);
    const wish = {
      service: 'llm',
      rank: 1,
      latencyTarget: 600,
      prompt: createPrompt([['own', 3_000]]),
    };
    const getRunning = () =>
      chooser.harness.core.registry
        .getService('llm')
        .getReplicasInService()
        .reduce((sum, { running }) => sum + running.size, 0);
    ['d-0', 'd-1'].forEach((peer) => {
      const ask = { key: 'a', wish, availabilityZone: '', tried: [] };
      chooser.hear(peer, { kind: 'ask', query: ask });
    });
    // A list that was written before the answer was heard doesn't count.
    chooser.hear('d-0', { kind: 'attempt-list', attempts: [] });
    expect(getRunning()).toBe(2);
    chooser.harness.clock.advance(1_000);
    chooser.hear('d-0', { kind: 'attempt-list', attempts: [] });
    expect(getRunning()).toBe(1);
    chooser.harness.core.handle({ kind: 'peer-removed', peer: 'd-1' });
    expect(getRunning()).toBe(0);
  });

  it('reads the caches of the engines that it chooses for, and of no others', () => {
    const { member, placer, deputy } = createMember();
    const getFollowed = (name: string) =>
      [...(new Member(name).harness.get('follow-caches').at(-1)?.engines ?? [])].sort();
    const all = ENGINES.map(({ id }) => id);
    expect(getFollowed(placer)).toEqual(all);
    expect(getFollowed(deputy)).toEqual(all);
    expect(getFollowed(member.name)).toEqual([]);
  });
});
