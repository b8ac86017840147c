import { ManualClock } from '@apricotrill/utils';
import { createReplica } from '../../../../test/fixtures.js';
import { RefusalReason } from '../../admission/Applicant.js';
import type { AdmissionDecision, Applicant } from '../../admission/Applicant.js';
import type { ChosenReplica } from '../../chooseReplica.js';
import { EngineStatistics } from '../../PrefillEstimator/EngineStatistics.js';
import { placementOptions } from '../../placementOptions.js';
import { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { fragilityOptions } from '../fragilityOptions.js';
import { SlotAdmission } from './SlotAdmission.js';

const SLOTS = 2;
const LATENCY_TARGET = 300;

/** One replica with two slots, whose requests take 80 ms. */
class World {
  readonly clock = new ManualClock();

  readonly decisions: AdmissionDecision[] = [];

  readonly faults: unknown[] = [];

  free = SLOTS;

  /** The applicant about which every choice fails by an unexpected error. */
  failingApplicant: string | undefined;

  /** Whether each look at the replicas fails by an unexpected error. */
  isFailing = false;

  readonly state = new ReplicaState(
    createReplica('i-0', { slots: SLOTS }),
    placementOptions,
    new EngineStatistics(this.clock),
  );

  readonly admission = new SlotAdmission({
    clock: this.clock,
    getCandidates: () => (this.free > 0 ? [this.state] : []),
    getReplicas: () => {
      if (this.isFailing) {
        throw new Error('provoked error');
      }
      return [this.state];
    },
    getSlots: () => SLOTS,
    choose: ({ id }, [state]) => {
      if (id === this.failingApplicant) {
        throw new Error('provoked error');
      }
      return { state, choice: {} } as unknown as ChosenReplica;
    },
    onDecision: (decision) => {
      this.decisions.push(decision);
      this.free -= decision.kind === 'begin' ? 1 : 0;
    },
    onFault: (error) => this.faults.push(error),
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

  // Guards against one request that keeps all others from their slots until its deadline.
  it('refuses a request that fails to be decided, and decides about the others', () => {
    const world = new World();
    world.failingApplicant = 'failing';
    world.submit('failing');
    world.submit('next');
    expect(world.get('begin')).toEqual(['next']);
    expect(world.decisions).toContainEqual(
      expect.objectContaining({ kind: 'refuse', reason: RefusalReason.Failed }),
    );
    expect(world.faults).toHaveLength(1);
  });

  // Guards against waiting requests about which nothing is decided any more.
  it('reviews again after an error that belongs to no request', () => {
    const world = new World();
    ['a', 'b', 'c'].forEach((id) => world.submit(id));
    world.isFailing = true;
    world.admission.review();
    expect(world.faults).toHaveLength(1);
    world.isFailing = false;
    world.free += 1;
    world.clock.advance(fragilityOptions.reviewInterval);
    expect(world.get('begin')).toEqual(['a', 'b', 'c']);
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
