import { getConnectionFailure } from '../ConnectionFailure.js';
import { PathTable } from './PathTable.js';

describe('PathTable', () => {
  it('reports the start and the end of failures once per replica', () => {
    const paths = new PathTable();
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
    const paths = new PathTable();
    expect(paths.getSilence(50)).toBeUndefined();
    paths.recordContact(100);
    expect(paths.getSilence(350)).toBe(250);
  });
});

describe('getConnectionFailure', () => {
  it.each([
    ['ECONNREFUSED', 'refused'],
    ['ECONNRESET', 'reset'],
    ['UND_ERR_CONNECT_TIMEOUT', 'timeout'],
    ['EMFILE', 'other'],
  ])('classifies %s as %s', (code, failure) => {
    expect(getConnectionFailure(Object.assign(new Error(code), { code }))).toBe(failure);
  });
});
