import { ManualClock } from '@apricotrill/utils';
import { createReplica } from '../../../../test/fixtures.js';
import type { AdmissionDecision, Applicant } from '../../admission/Applicant.js';
import type { ChosenReplica } from '../../chooseReplica.js';
import { EngineStatistics } from '../../PrefillEstimator/EngineStatistics.js';
import { placementOptions } from '../../placementOptions.js';
import { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { SlotAdmission } from './SlotAdmission.js';

const SLOTS = 2;
const LATENCY_TARGET = 300;

/** One replica with two slots, whose requests take 80 ms. */
class World {
  readonly clock = new ManualClock();

  readonly decisions: AdmissionDecision[] = [];

  free = SLOTS;

  readonly state = new ReplicaState(
    createReplica('i-0', { slots: SLOTS }),
    placementOptions,
    new EngineStatistics(this.clock),
  );

  readonly admission = new SlotAdmission({
    clock: this.clock,
    getCandidates: () => (this.free > 0 ? [this.state] : []),
    getReplicas: () => [this.state],
    getSlots: () => SLOTS,
    choose: (_applicant, [state]) => ({ state, choice: {} }) as unknown as ChosenReplica,
    onDecision: (decision) => {
      this.decisions.push(decision);
      this.free -= decision.kind === 'begin' ? 1 : 0;
    },
  });

  submit(id: string, parts: Partial<Applicant> = {}, rank = 1): void {
    const now = this.clock.now();
    this.admission.submit({
      id,
      criteria: { service: 'app', rank, latencyTarget: LATENCY_TARGET },
      workspace: '',
      fingerprint: id,
      arrivedAt: now,
      deadline: now + 1_500,
      availabilityZone: '',
      excludedReplicas: new Set(),
      ...parts,
    });
  }

  end(): void {
    this.free += 1;
    this.admission.review();
  }

  get(kind: AdmissionDecision['kind']): string[] {
    return this.decisions.filter((one) => one.kind === kind).map(({ applicant }) => applicant.id);
  }
}

describe('SlotAdmission', () => {
  it('fills the slots, and lets the rest begin as slots free up, first come first served', () => {
    const world = new World();
    ['a', 'b', 'c', 'd'].forEach((id) => world.submit(id));
    expect(world.get('begin')).toEqual(['a', 'b']);
    expect(world.get('wait')).toEqual(['c', 'd']);
    world.end();
    world.end();
    expect(world.get('begin')).toEqual(['a', 'b', 'c', 'd']);
  });

  it('lets the most urgent begin first', () => {
    const world = new World();
    ['a', 'b', 'c'].forEach((id) => world.submit(id));
    world.submit('urgent', {}, 0);
    world.end();
    expect(world.get('begin')).toEqual(['a', 'b', 'urgent']);
  });

  // Guards against requests that are held until their callers give up.
  it('refuses at once what could not begin in time, the least urgent last come first', () => {
    const world = new World();
    Array.from({ length: 12 }, (_item, index) => world.submit(`r-${index}`));
    expect(world.get('refuse').length).toBeGreaterThan(0);
    expect(world.get('refuse')).toContain('r-11');
    expect(world.get('refuse')).not.toContain('r-2');
    const [refusal] = world.decisions.filter((one) => one.kind === 'refuse');
    expect(refusal).toMatchObject({ kind: 'refuse' });
    expect((refusal as { retryAfter: number }).retryAfter).toBeGreaterThan(0);
  });

  // Guards against slots that are taken by requests whose time limit passes before their response.
  it('refuses a waiting request once its response would be late', () => {
    const world = new World();
    ['a', 'b', 'c'].forEach((id) => world.submit(id));
    world.clock.advance(LATENCY_TARGET);
    expect(world.get('refuse')).toEqual(['c']);
    world.end();
    expect(world.get('begin')).toEqual(['a', 'b']);
  });

  it('forgets a request that is withdrawn', () => {
    const world = new World();
    ['a', 'b', 'c'].forEach((id) => world.submit(id));
    world.admission.withdraw('c');
    world.end();
    expect(world.get('begin')).toEqual(['a', 'b']);
    expect(world.admission.size).toBe(0);
  });

  it('returns all that waits when it is dissolved', () => {
    const world = new World();
    ['a', 'b', 'c'].forEach((id) => world.submit(id));
    expect(world.admission.dissolve().map(({ id }) => id)).toEqual(['c']);
    world.clock.advance(2_000);
    expect(world.get('refuse')).toEqual([]);
  });
});
