import { createEngineService } from '../../../test/fixtures.js';
import { placementOptions } from '../placementOptions.js';
import type { RunningAttempt } from '../RequestRecord.js';
import { StreamPauses } from './StreamPauses.js';

const SPEED = {
  profile: { ...createEngineService('llm').engine!, eventTokens: 5 },
  prefillRate: 50,
  options: placementOptions,
};

function createStream(parts: Partial<RunningAttempt> = {}): RunningAttempt {
  const stream = { pauseTarget: 250, isResponding: true, hasMissedPauseTarget: false, ...parts };
  return stream as RunningAttempt;
}

describe('StreamPauses', () => {
  it('counts the streams that long prefill would harm', () => {
    const streams = [createStream(), createStream({ pauseTarget: undefined }), createStream()];
    const pauses = new StreamPauses(new Set(streams));
    expect(pauses.getHarmed(40, SPEED)).toBe(0);
    expect(pauses.getHarmed(400, SPEED)).toBe(2);
  });

  it('does not count a stream again that has missed its pause target', () => {
    const streams = [createStream(), createStream({ isResponding: false })];
    const pauses = new StreamPauses(new Set(streams));
    pauses.markMissed(400, SPEED);
    expect(streams.map(({ hasMissedPauseTarget }) => hasMissedPauseTarget)).toEqual([true, false]);
    expect(pauses.getHarmed(400, SPEED)).toBe(1);
  });

  // Guards against prompts that are sent to an engine whose streams miss their pauses in a spell.
  it('counts streams for which only the slowdown is too much', () => {
    const pauses = new StreamPauses(new Set([createStream({ pauseTarget: 600 })]));
    expect(pauses.getHarmed(700, SPEED)).toBe(0);
    expect(pauses.getHarmed(700, { ...SPEED, prefillRate: 20, slowdown: 2.5 })).toBe(1);
  });
});
