import { AttemptEnd } from '../../decide/messages.js';
import { RunStarts } from './RunStarts.js';
import type { EndedAttempt } from './RunStarts.js';

const PLAIN: EndedAttempt = {
  service: 'app',
  end: AttemptEnd.Completed,
  sentAt: 1_000,
  endedAt: 1_020,
  isStream: false,
};

describe('RunStarts', () => {
  it('learns nothing from the end of a stream, but that its replica failed it', () => {
    const starts = new RunStarts();
    const stream = { ...PLAIN, isStream: true };
    expect(starts.getStart(stream)).toBeUndefined();
    expect(starts.getStart({ ...stream, end: AttemptEnd.Broken })).toBeUndefined();
    expect(starts.getStart({ ...stream, end: AttemptEnd.Failed })).toBeDefined();
  });

  // Guards against answers that waited in a replica's queue and count in the window before their run.
  it('takes off what a plain answer takes without a queue', () => {
    const starts = new RunStarts();
    for (let index = 0; index < 20; index += 1) {
      expect(starts.getStart(PLAIN)).toBe(1_000);
    }
    expect(starts.getStart({ ...PLAIN, endedAt: 1_500 })).toBe(1_480);
  });

  it('counts what was run and lost, and nothing that a replica proves not to have run', () => {
    const starts = new RunStarts();
    const isCounted = (end: AttemptEnd) => starts.getStart({ ...PLAIN, end }) !== undefined;
    expect(Object.values(AttemptEnd).filter(isCounted)).toEqual([
      AttemptEnd.Completed,
      AttemptEnd.Failed,
      AttemptEnd.Broken,
      AttemptEnd.Cancelled,
    ]);
  });
});
