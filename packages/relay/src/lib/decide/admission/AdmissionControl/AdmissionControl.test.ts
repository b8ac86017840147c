import { CoreHarness } from '../../../../test/CoreHarness.js';
import { createEngineService, createEngines } from '../../../../test/fixtures.js';
import { EXPECTED_WAIT, WaitingGroup } from '../../../../test/WaitingGroup.js';
import { Fleet } from '../../Fleet/Fleet.js';
import type { PlacementEffect, PlacementResponse } from '../../messages.js';
import type { PeerAttempts } from '../../PeerAttempts/PeerAttempts.js';
import { RefusalReason } from '../Applicant.js';
import { PeerQueries, peerQueryOptions } from '../PeerQueries/PeerQueries.js';
import type { ClaimedQuery } from '../PeerQueries/PeerQueries.js';
import { AdmissionControl } from './AdmissionControl.js';

const SELF = 'd-0';

const PEER = 'd-1';

/** The admission at one of two daemons, with a group that decides when a test says so. */
class Placer {
  private readonly harness = new CoreHarness([createEngineService('llm')], createEngines(2));

  private readonly fleet = new Fleet();

  private readonly effects: PlacementEffect[] = [];

  readonly groups: WaitingGroup[] = [];

  readonly control: AdmissionControl;

  readonly queries: PeerQueries;

  /** Keys of attempts that were counted as in flight. */
  readonly placed = new Set<string>();

  constructor() {
    const { clock, core } = this.harness;
    const emit = (effect: PlacementEffect) => this.effects.push(effect);
    this.setDaemons([SELF]);
    this.control = new AdmissionControl({
      clock,
      emit,
      fleet: this.fleet,
      registry: core.registry,
      createGroup: (settings) => {
        const group = new WaitingGroup(settings);
        this.groups.push(group);
        return group;
      },
    });
    const peerAttempts = {
      has: (_peer: string, key: string) => this.placed.has(key),
      addPlaced: (_peer: string, key: string) => this.placed.add(key),
    } as unknown as PeerAttempts;
    this.queries = new PeerQueries({ clock, emit, control: this.control, peerAttempts });
  }

  get group(): WaitingGroup {
    return this.groups.at(-1)!;
  }

  get now(): number {
    return this.harness.clock.now();
  }

  setDaemons(daemons: readonly string[]): void {
    this.fleet.update(SELF, daemons);
  }

  advance(duration: number): void {
    this.harness.clock.advance(duration);
  }

  ask(key: string, waited = 40): void {
    const claim = { group: 'llm', workspace: 'w', fingerprint: 'f', waited, timeLeft: 2_000 };
    const criteria = { service: 'llm', rank: 1, latencyTarget: 600 };
    const query: ClaimedQuery = {
      key,
      criteria,
      availabilityZone: 'a',
      excludedReplicas: ['e-1'],
      claim,
    };
    this.queries.handle(PEER, query);
  }

  refuse(): void {
    this.group.decide((applicant) => ({
      kind: 'refuse',
      applicant,
      reason: RefusalReason.Late,
      retryAfter: 300,
      expected: 900,
    }));
  }

  begin(): void {
    const state = this.harness.core.registry.findReplica('e-0')!;
    const estimates = { cost: 50, expected: 50, missingTokens: 9, tokensAhead: 9, copyTime: 0 };
    const choice = { ...estimates, isTelling: true, inFlight: 0 };
    this.group.decide((applicant) => ({ kind: 'begin', applicant, chosen: { state, choice } }));
  }

  get responses(): PlacementResponse[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'share' && effect.to === PEER && effect.update.kind === 'reply'
        ? [effect.update.response]
        : [],
    );
  }

  get records(): unknown[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'admission-decided' ? [effect.record] : [],
    );
  }
}

describe('AdmissionControl', () => {
  it('translates the durations of a claim to its own clock', () => {
    const placer = new Placer();
    placer.advance(500);
    placer.ask('k');
    expect([...placer.group.applicants.values()]).toMatchObject([
      {
        workspace: 'w',
        fingerprint: 'f',
        arrivedAt: 460,
        deadline: 2_500,
        availabilityZone: 'a',
        excludedReplicas: new Set(['e-1']),
      },
    ]);
  });

  it('records each decision with its inputs', () => {
    const placer = new Placer();
    placer.ask('k');
    placer.advance(100);
    placer.begin();
    const common = { daemon: PEER, key: 'k', service: 'llm', group: 'llm', workspace: 'w' };
    const promise = { expectedWait: EXPECTED_WAIT };
    expect(placer.records).toMatchObject([
      { ...common, ...promise, decision: 'wait', waited: 40, waiting: 1 },
      { ...common, ...promise, decision: 'begin', waited: 140, queuedFor: 100, replica: 'e-0' },
    ]);
  });

  // Guards against requests that wait at a daemon that no other one asks any more.
  it('answers what waits with no room when another daemon is the first placer', () => {
    const placer = new Placer();
    placer.ask('k');
    const daemons = [SELF, PEER, 'd-2', 'd-3', 'd-4'];
    placer.setDaemons(daemons);
    placer.control.updateGroups();
    const isFirst = new Fleet();
    isFirst.update(SELF, daemons);
    expect(isFirst.getPlacers('llm')[0]).not.toBe(SELF);
    expect(placer.responses.at(-1)).toEqual({ key: 'k' });
    expect(placer.control.getWaitingCounts()).toEqual([]);
  });

  it('answers nothing any more after a withdrawal', () => {
    const placer = new Placer();
    placer.ask('k');
    placer.queries.handleEnded(PEER, 'k');
    expect(placer.group.size).toBe(0);
    expect(placer.responses).toHaveLength(1);
  });
});

describe('PeerQueries', () => {
  // Guards against a request that takes two places in the order, or begins twice.
  it('decides a key once, and repeats the decision for copies of its query', () => {
    const placer = new Placer();
    placer.ask('k');
    placer.advance(50);
    placer.ask('k');
    placer.begin();
    placer.ask('k');
    expect(placer.group.submitted).toBe(1);
    expect(placer.responses).toMatchObject([
      { key: 'k', queued: { expectedWait: EXPECTED_WAIT } },
      { key: 'k', queued: { expectedWait: EXPECTED_WAIT - 50 } },
      { key: 'k', placement: { replica: 'e-0' } },
      { key: 'k', placement: { replica: 'e-0' } },
    ]);
    placer.ask('l');
    placer.refuse();
    placer.ask('l');
    const refused = { key: 'l', refused: { retryAfter: 300 } };
    expect(placer.responses.slice(-2)).toEqual([refused, refused]);
  });

  // Guards against a query that arrives after its end, and would wait and begin for nobody.
  it('ignores a late query of a request that has ended', () => {
    const placer = new Placer();
    placer.ask('other');
    placer.queries.handleEnded(PEER, 'k');
    placer.ask('k');
    expect(placer.group.submitted).toBe(1);
    placer.advance(peerQueryOptions.retention);
    placer.advance(peerQueryOptions.sweepInterval);
    placer.queries.sweep();
    placer.ask('k');
    expect(placer.group.submitted).toBe(2);
  });

  // Guards against a daemon that asks again after a lost response, and gets none although nothing runs.
  it('decides again about an attempt that is no longer counted', () => {
    const placer = new Placer();
    placer.ask('k');
    placer.begin();
    placer.placed.clear();
    placer.ask('k');
    expect(placer.group.submitted).toBe(2);
  });

  it('withdraws the requests of a daemon that is gone or does not repeat its queries', () => {
    const placer = new Placer();
    placer.ask('k');
    placer.queries.removePeer(PEER);
    expect(placer.group.size).toBe(0);
    placer.ask('l');
    placer.ask('m');
    placer.advance(peerQueryOptions.timeout);
    placer.ask('m');
    placer.advance(peerQueryOptions.sweepInterval);
    placer.queries.sweep();
    expect([...placer.group.applicants.keys()]).toEqual([`${PEER} m`]);
  });
});
