import { AdmissionReplay } from '../../../../test/AdmissionReplay.js';
import { createReplayApplicant } from '../../../../test/createReplayApplicant.js';
import type { ReplayApplicantParts } from '../../../../test/createReplayApplicant.js';
import { RefusalReason } from '../Applicant.js';

/** Admission before one engine, and the kinds of its decisions by applicant. */
class SmallGroup {
  readonly replay: AdmissionReplay;

  constructor(slots = 8) {
    this.replay = new AdmissionReplay({ engines: 1, slots });
  }

  submit(id: string, parts: ReplayApplicantParts = {}): void {
    const arrivedAt = this.replay.clock.now();
    this.replay.admission.submit(createReplayApplicant(id, { arrivedAt, ...parts }));
  }

  submitMany(count: number, parts: ReplayApplicantParts = {}): void {
    for (let index = 0; index < count; index += 1) {
      this.submit(`r-${index}`, parts);
    }
  }

  getKinds(id: string): string[] {
    const { decisions } = this.replay;
    return decisions.filter(({ applicant }) => applicant.id === id).map(({ kind }) => kind);
  }
}

describe('EngineAdmission', () => {
  it('begins what an engine prefills soon, keeps what can be in time, refuses the rest', () => {
    const group = new SmallGroup();
    group.submitMany(12);
    const kinds = group.replay.decisions.map(({ kind }) => kind);
    expect(kinds.slice(0, 3)).toEqual(['begin', 'begin', 'begin']);
    expect(kinds.slice(3)).toContain('wait');
    expect(group.getKinds('r-11')).toEqual(['refuse']);
  });

  it('begins a request that is late by its own size where nothing else waits', () => {
    // Guards against engines that idle while requests are refused.
    const group = new SmallGroup();
    group.submit('large', { tokens: 60_000 });
    expect(group.getKinds('large')).toEqual(['begin']);
    // The engine is busy for 1.5 s now.
    group.submit('second', { tokens: 60_000 });
    expect(group.getKinds('second')).toEqual(['refuse']);
    group.replay.clock.advance(2_000);
    group.submit('third', { tokens: 60_000 });
    expect(group.getKinds('third')).toEqual(['begin']);
  });

  it('refuses a request that more urgent ones displace, at once', () => {
    // Guards against requests that wait to their deadline behind more urgent ones.
    const group = new SmallGroup();
    group.submitMany(3);
    group.submit('last', { rank: 5 });
    expect(group.getKinds('last')).toEqual(['wait']);
    ['a', 'b', 'c'].forEach((id) => group.submit(id, { rank: 0 }));
    expect(group.getKinds('last')).toEqual(['wait', 'refuse']);
    const refusal = group.replay.decisions.find(({ kind }) => kind === 'refuse');
    expect(refusal).toMatchObject({ reason: RefusalReason.Displaced });
  });

  it('refuses what waits when the only engine is lost', () => {
    // Guards against requests that wait for an engine that is gone.
    const group = new SmallGroup();
    group.submitMany(4);
    expect(group.replay.admission.size).toBe(1);
    group.replay.loseEngine(0);
    expect(group.getKinds('r-3')).toEqual(['wait', 'refuse']);
    expect(group.replay.admission.size).toBe(0);
  });

  // Guards against one request that keeps all others of its group from beginning until its deadline.
  it('refuses a request that fails to be decided, and decides about the others', () => {
    const group = new SmallGroup();
    group.replay.failingApplicant = 'failing';
    group.submit('failing');
    group.submit('next');
    expect(group.getKinds('failing')).toEqual(['refuse']);
    expect(group.getKinds('next')).toEqual(['begin']);
    const refusal = group.replay.decisions.find(({ kind }) => kind === 'refuse');
    expect(refusal).toMatchObject({ reason: RefusalReason.Failed });
    expect(group.replay.faults).toHaveLength(1);
  });

  // Guards against waiting requests about which nothing is decided any more.
  it('reviews again after an error that belongs to no request', () => {
    const group = new SmallGroup();
    group.submitMany(4);
    expect(group.getKinds('r-3')).toEqual(['wait']);
    const { clock, faults } = group.replay;
    group.replay.isFailing = true;
    // All responses end, so that no other event brings a review.
    clock.advance(5_000);
    expect(faults).not.toEqual([]);
    group.replay.isFailing = false;
    clock.advance(1_000);
    expect(group.getKinds('r-3')).toEqual(['wait', 'refuse']);
  });

  it('returns what waits when it is dissolved, without a decision', () => {
    const group = new SmallGroup();
    group.submitMany(4);
    const { admission, clock, decisions } = group.replay;
    const count = decisions.length;
    expect(admission.dissolve().map(({ id }) => id)).toEqual(['r-3']);
    clock.advance(10_000);
    expect(decisions).toHaveLength(count);
  });

  it('announces its room, and the wait behind all that wait', () => {
    const group = new SmallGroup();
    expect(group.replay.admission.getLoad()).toEqual({ expectedWait: 0, room: 8 });
    group.submitMany(5);
    const { expectedWait, room } = group.replay.admission.getLoad();
    expect(room).toBe(0);
    // The prompt of the one that waits, beyond what an engine may hold.
    expect(expectedWait).toBeCloseTo(100);
  });

  it('serves a rank beside more urgent requests that ask for all engines', () => {
    // Guards against ranks that get nothing for as long as more urgent requests come.
    const replay = new AdmissionReplay();
    const span = { from: 0, until: 6_000 };
    replay.play([
      { ...span, perSecond: 120, rank: 0 },
      { ...span, perSecond: 40, rank: 1 },
    ]);
    const share = replay.getInTimeShare(({ load }) => load.rank === 1);
    // Half of what the floor keeps of 80 requests a second.
    expect(share * 40).toBeGreaterThanOrEqual(80 / 16 / 2);
  });
});
