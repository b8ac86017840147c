import { ReplicaSilence } from './ReplicaSilence.js';

describe('ReplicaSilence', () => {
  it('lasts until something is received or a liveness check succeeds', () => {
    const silence = new ReplicaSilence();
    silence.recordReceived(500);
    expect(silence.isSilentSince(400)).toBe(false);
    expect(silence.isSilentSince(1_000)).toBe(true);
    silence.beginCheck();
    silence.endCheck(false, 1_100);
    expect(silence.isSilentSince(1_000)).toBe(true);
    silence.endCheck(true, 1_200);
    expect(silence.isSilentSince(1_000)).toBe(false);
  });

  it('has one check at a time', () => {
    const silence = new ReplicaSilence();
    expect([silence.beginCheck(), silence.beginCheck()]).toEqual([true, false]);
    silence.endCheck(true, 0);
    expect(silence.beginCheck()).toBe(true);
  });
});
