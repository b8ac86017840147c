import { getConnectionFailure } from '../ConnectionFailure.js';
import { pathOptions } from '../pathOptions.js';
import { PathTable } from './PathTable.js';

const { recoveryInterval, requiredSuccesses } = pathOptions;

function createPaths(replicas = ['a', 'b', 'c']): PathTable {
  const paths = new PathTable();
  paths.retain(new Set(replicas));
  return paths;
}

/** Probes a replica successfully until nothing is lost. @returns the number of probes */
function restore(paths: PathTable, replica: string, from: number): number {
  let probes = 0;
  while (paths.isLost(replica) && probes < 100) {
    probes += 1;
    paths.recordProbe(replica, true, from + probes * recoveryInterval);
  }
  return probes;
}

describe('PathTable', () => {
  it('reports the start and the end of failures once per replica', () => {
    const paths = createPaths();
    expect(paths.recordFailure('a', 100)).toBe(true);
    expect(paths.recordFailure('a', 200)).toBe(false);
    expect(paths.recordFailure('b', 200)).toBe(true);
    expect(paths.failingCount).toBe(2);
    expect(paths.recordOpened('a', 700)).toBe(600);
    expect(paths.recordOpened('a', 800)).toBeUndefined();
    paths.retain(new Set(['a']));
    expect(paths.failingCount).toBe(0);
  });

  it('knows how long no replica has sent anything', () => {
    const paths = createPaths();
    expect(paths.getSilence(50)).toBeUndefined();
    paths.recordContact(100);
    expect(paths.getSilence(350)).toBe(250);
  });

  it('isolates the daemon at the second lost path, and ends that by probes of any replica', () => {
    const paths = createPaths();
    expect(paths.recordLost('a', 100)).toEqual({ isNew: true, isIsolationLikely: false });
    expect(paths.confirmIsolation(150)).toBe(false);
    expect(paths.isLost('c')).toBe(false);
    expect(paths.recordLost('b', 200)).toEqual({ isNew: true, isIsolationLikely: true });
    expect(paths.isIsolated).toBe(false);
    expect(paths.confirmIsolation(200)).toBe(true);
    expect(paths.isLost('c')).toBe(true);
    expect(paths.lostCount).toBe(3);
    expect(paths.recordProbe('a', true, 700).isolatedFor).toBeUndefined();
    expect(paths.recordProbe('b', true, 1_200).isolatedFor).toBe(1_000);
    expect(paths.lostCount).toBe(0);
  });

  // Guards against giving up all direct paths because a few replicas are partitioned off.
  it('keeps the other paths if a connection was opened after the first loss and used', () => {
    const paths = createPaths();
    paths.recordLost('a', 100);
    paths.recordOpened('c', 150);
    paths.recordContact(160);
    expect(paths.recordLost('b', 200).isIsolationLikely).toBe(false);
    expect(paths.confirmIsolation(200)).toBe(false);
    expect([paths.isLost('a'), paths.isLost('b'), paths.isLost('c')]).toEqual([true, true, false]);
  });

  // Guards against isolation while connections to the other replicas have been open all along.
  it('does not isolate the daemon if a probe reaches another replica', () => {
    const paths = createPaths();
    paths.recordLost('a', 100);
    expect(paths.recordLost('b', 200).isIsolationLikely).toBe(true);
    paths.recordReached('c', 210);
    expect(paths.confirmIsolation(220)).toBe(false);
    expect(paths.isLost('c')).toBe(false);
  });

  // Guards against a middlebox that accepts connections in place of the replicas.
  it('isolates the daemon although connections open, if nothing is received over them', () => {
    const paths = createPaths();
    paths.recordContact(50);
    paths.recordLost('a', 100);
    paths.recordOpened('c', 150);
    expect(paths.getSilence(160)).toBe(110);
    expect(paths.recordLost('b', 200).isIsolationLikely).toBe(true);
    expect(paths.confirmIsolation(220)).toBe(true);
  });

  // Guards against a partition in which open connections live on.
  it('isolates the daemon although replicas send something, if no connection opens', () => {
    const paths = createPaths();
    paths.recordLost('a', 100);
    paths.recordContact(150);
    expect(paths.recordLost('b', 200).isIsolationLikely).toBe(true);
  });

  it('isolates a daemon with a single replica at its first loss', () => {
    const paths = createPaths(['a']);
    expect(paths.recordLost('a', 100).isIsolationLikely).toBe(true);
    expect(paths.confirmIsolation(100)).toBe(true);
  });

  // Guards against moving requests back and forth while a partition comes and goes.
  it('asks for more successful probes after each relapse, up to a limit', () => {
    const paths = createPaths();
    let now = 0;
    const probes = Array.from({ length: 5 }, () => {
      now += recoveryInterval;
      paths.recordLost('a', now);
      const count = restore(paths, 'a', now);
      now += count * recoveryInterval;
      return count;
    });
    expect(probes).toEqual([
      requiredSuccesses,
      requiredSuccesses * 2,
      requiredSuccesses * 4,
      pathOptions.maxRequiredSuccesses,
      pathOptions.maxRequiredSuccesses,
    ]);
    now += pathOptions.relapsePeriod;
    paths.recordLost('a', now);
    expect(restore(paths, 'a', now)).toBe(requiredSuccesses);
  });

  it('starts to count again after a failed probe', () => {
    const paths = createPaths();
    paths.recordLost('a', 0);
    paths.recordProbe('a', true, 500);
    paths.recordProbe('a', false, 1_000);
    paths.recordProbe('a', true, 1_500);
    expect(paths.isLost('a')).toBe(true);
  });
});

describe('getConnectionFailure', () => {
  it.each([
    ['ECONNREFUSED', 'refused'],
    ['ECONNRESET', 'reset'],
    ['ETIMEDOUT', 'timeout'],
    ['EMFILE', 'other'],
  ])('classifies %s as %s', (code, failure) => {
    expect(getConnectionFailure(Object.assign(new Error(code), { code }))).toBe(failure);
  });
});
