import { ManualClock } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';
import { CrashLedger } from './CrashLedger.js';

const NONE_QUARANTINED = () => false;

/** Records consecutive crashes, each with the given requests in flight. */
function crash(ledger: CrashLedger, clock: ManualClock, crashes: readonly string[][]): void {
  crashes.forEach((fingerprints) => {
    clock.advance(100);
    ledger.add(`i-${clock.now()}`, fingerprints);
  });
}

function create() {
  const clock = new ManualClock();
  return { clock, ledger: new CrashLedger(clock) };
}

describe('CrashLedger', () => {
  it('finds a responsible request after three crashes, not earlier', () => {
    const { clock, ledger } = create();
    crash(ledger, clock, [['crashing', 'a'], ['crashing']]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual([]);
    crash(ledger, clock, [['crashing', 'b']]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual(['crashing']);
    expect(ledger.getReplicas('crashing')).toHaveLength(3);
  });

  it('counts a crash reported by several daemons once', () => {
    const { ledger } = create();
    expect(ledger.add('i-1', ['crashing'])).toEqual(['crashing']);
    expect(ledger.add('i-1', ['crashing', 'a'])).toEqual(['a']);
    expect(ledger.getReplicas('crashing')).toEqual(['i-1']);
  });

  // Guards against rejecting requests that ran alongside the responsible one.
  it('does not attribute crashes of a responsible request to others', () => {
    const { clock, ledger } = create();
    crash(ledger, clock, [
      ['crashing', 'a', 'b'],
      ['crashing', 'a', 'c'],
      ['crashing', 'b', 'c'],
      ['crashing', 'a', 'd'],
    ]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual(['crashing']);
    expect(ledger.findResponsible((fingerprint) => fingerprint === 'crashing')).toEqual([]);
  });

  it('needs a fourth crash to distinguish two requests that shared three', () => {
    const { clock, ledger } = create();
    const both = ['crashing', 'a'];
    crash(ledger, clock, [both, both, both]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual([]);
    crash(ledger, clock, [['crashing']]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual(['crashing']);
  });

  // Guards against rejecting a request that was in flight at several correlated replica failures.
  it('holds no request responsible while more replicas crash without it', () => {
    const { clock, ledger } = create();
    for (let failure = 0; failure < 3; failure += 1) {
      crash(ledger, clock, [['a'], [`x-${failure}`], [`y-${failure}`], [`z-${failure}`]]);
      clock.advance(30_000);
    }
    expect(ledger.getReplicas('a')).toHaveLength(3);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual([]);
  });

  it('distinguishes requests that crash replicas at the same time', () => {
    const { clock, ledger } = create();
    const crashing = ['one', 'two', 'three'];
    for (let round = 0; round < 3; round += 1) {
      crash(
        ledger,
        clock,
        crashing.map((fingerprint) => [fingerprint, `other-${round}-${fingerprint}`]),
      );
    }
    expect(ledger.findResponsible(NONE_QUARANTINED).sort()).toEqual([...crashing].sort());
  });

  it('ignores a cleared request, even when its crashes are reported again', () => {
    const { clock, ledger } = create();
    crash(ledger, clock, [['a'], ['a'], ['a']]);
    const replicas = ledger.getReplicas('a');
    ledger.clear('a');
    replicas.forEach((replica) => ledger.add(replica, ['a']));
    expect(ledger.getReplicas('a')).toEqual([]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual([]);
  });

  it('finds a part that different requests share', () => {
    const { clock, ledger } = create();
    crash(ledger, clock, [
      ['part:bad', 'a', 'part:x'],
      ['part:bad', 'b'],
      ['part:bad', 'c', 'part:y'],
    ]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual(['part:bad']);
  });

  it('prefers a request to a part of its prompt', () => {
    const { clock, ledger } = create();
    const both = ['part:a', 'crashing'];
    crash(ledger, clock, [both, both, both]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual(['crashing']);
  });

  // Guards against a quarantined request that hides the crashes of the part that is responsible.
  it('finds a part that explains the crashes of a quarantined request and another one', () => {
    const { clock, ledger } = create();
    const both = ['part:bad', 'a'];
    crash(ledger, clock, [both, both, both, ['part:bad', 'b']]);
    const isQuarantined = (fingerprint: string) => fingerprint === 'a';
    expect(ledger.findResponsible(isQuarantined)).toEqual(['part:bad']);
    expect(ledger.isExplainedBy('a', 'part:bad')).toBe(true);
    expect(ledger.isExplainedBy('part:bad', 'a')).toBe(false);
  });

  it('needs further crashes to distinguish two parts, up to a limit', () => {
    const { clock, ledger } = create();
    const both = ['part:bad', 'part:a'];
    for (let count = 1; count < quarantineOptions.distinctThreshold; count += 1) {
      crash(ledger, clock, [both]);
      expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual([]);
    }
    crash(ledger, clock, [both]);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toHaveLength(1);
  });

  // Guards against a verdict on a part of most prompts when power is lost at many replicas.
  it('counts crashes of a part at the same moment once', () => {
    const { clock, ledger } = create();
    for (let failure = 0; failure < 2; failure += 1) {
      for (let index = 0; index < 4; index += 1) {
        ledger.add(`i-${failure}-${index}`, ['part:common', `f-${failure}-${index}`]);
      }
      clock.advance(30_000);
    }
    expect(ledger.getReplicas('part:common')).toHaveLength(8);
    expect(ledger.findResponsible(NONE_QUARANTINED)).toEqual([]);
  });

  it('stays within its limits with many crashes and requests', () => {
    const { clock, ledger } = create();
    const { maxCrashes, maxFingerprintsPerCrash } = quarantineOptions;
    for (let index = 0; index < maxCrashes * 3; index += 1) {
      const others = Array.from(
        { length: maxFingerprintsPerCrash },
        (_item, item) => `${index}-${item}`,
      );
      crash(ledger, clock, [['crashing', ...others]]);
    }
    expect(ledger.getReplicas('crashing').length).toBeLessThanOrEqual(maxCrashes);
    expect(ledger.has('i-100')).toBe(false);
    expect(ledger.getReplicas('0-0')).toEqual([]);
  });
});
