import { ManualClock } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';
import { EntryOrigin, QuarantineEntries } from './QuarantineEntries.js';

const { duration, trialDelay, maxTrials, releaseRetention } = quarantineOptions;
const NEW = { duration, replicas: ['i-1'], origin: EntryOrigin.Own };

describe('QuarantineEntries', () => {
  let clock: ManualClock;
  let entries: QuarantineEntries;

  beforeEach(() => {
    clock = new ManualClock();
    entries = new QuarantineEntries(clock);
    entries.add('part:a', NEW);
  });

  it('keeps an entry for its term, which a further report extends', () => {
    clock.advance(duration - 1);
    expect(entries.add('part:a', { ...NEW, duration: 10 })).toBe(false);
    clock.advance(9);
    expect(entries.has('part:a')).toBe(true);
    clock.advance(1);
    expect(entries.has('part:a')).toBe(false);
    expect(entries.size).toBe(0);
  });

  it('remembers for a while that content was released', () => {
    expect(entries.release('part:a')).toBe(EntryOrigin.Own);
    expect(entries.release('part:a')).toBeUndefined();
    expect(entries.wasReleased('part:a')).toBe(true);
    clock.advance(releaseRetention);
    expect(entries.wasReleased('part:a')).toBe(false);
  });

  it('gives a trial after the delay, and only a few attempts of trials', () => {
    expect(entries.tryTakeTrial('part:a')).toBe(false);
    clock.advance(trialDelay);
    expect(entries.tryTakeTrial('part:a')).toBe(true);
    expect(entries.tryTakeTrial('part:a')).toBe(false);
    const repeated = Array.from({ length: 5 }, () => entries.tryRepeatTrial('part:a'));
    expect(repeated.filter((isAllowed) => isAllowed)).toHaveLength(maxTrials - 1);
  });

  // Guards against a trial after each restart of a daemon, each of which ends a replica.
  it('gives no trial for an entry that is older than the process', () => {
    entries.add('part:old', { ...NEW, origin: EntryOrigin.Restored });
    clock.advance(trialDelay);
    expect(entries.tryTakeTrial('part:old')).toBe(false);
  });

  it('gives no trial once a replica has crashed again', () => {
    entries.recordCrash('part:a');
    clock.advance(trialDelay);
    entries.recordCrash('part:a');
    expect(entries.tryTakeTrial('part:a')).toBe(false);
  });

  it('repeats its entries in turn', () => {
    const { maxEntriesPerDatagram } = quarantineOptions;
    for (let index = 0; index < maxEntriesPerDatagram; index += 1) {
      entries.add(`f-${index}`, NEW);
    }
    const first = entries.takeRepeated().map(({ fingerprint }) => fingerprint);
    const second = entries.takeRepeated().map(({ fingerprint }) => fingerprint);
    expect(new Set([...first, ...second]).size).toBe(maxEntriesPerDatagram + 1);
  });
});
