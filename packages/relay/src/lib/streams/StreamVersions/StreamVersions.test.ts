import { ManualClock } from '@apricotrill/utils';
import { createReplica } from '../../../test/fixtures.js';
import { streamOptions } from '../streamOptions.js';
import { StreamVersions } from './StreamVersions.js';

const { minResumeTime: resumeTime, maxStreams } = streamOptions;

function createVersions(isFirstStart = false) {
  const clock = new ManualClock();
  const known = { age: 0 };
  const versions = new StreamVersions({ clock, isFirstStart, getListAge: () => known.age });
  const list = (...softwareVersions: string[]) =>
    versions.setReplicas(
      softwareVersions.map((softwareVersion, index) =>
        createReplica(`i-${index}-${softwareVersion}`, { softwareVersion }),
      ),
    );
  return { clock, versions, list, known };
}

const STREAM = { id: 's-1', service: 'app', softwareVersion: 'v1' };

describe('StreamVersions', () => {
  it('remembers a stream for the time in which it can be resumed', () => {
    const { clock, versions } = createVersions();
    versions.record(STREAM);
    clock.advance(resumeTime);
    expect(versions.find('s-1')).toMatchObject(STREAM);
    clock.advance(1);
    expect(versions.find('s-1')).toBeUndefined();
    expect(versions.size).toBe(0);
  });

  it('remembers a stream that goes on anew', () => {
    const { clock, versions } = createVersions();
    versions.record(STREAM);
    clock.advance(resumeTime);
    versions.record(STREAM);
    clock.advance(resumeTime);
    expect(versions.find('s-1')).toMatchObject(STREAM);
  });

  it('forgets the oldest streams beyond its limit', () => {
    const { versions } = createVersions();
    for (let index = 0; index <= maxStreams; index += 1) {
      versions.record({ ...STREAM, id: `s-${index}` });
    }
    expect([versions.size, versions.find('s-0'), versions.find('s-1')?.id]).toEqual([
      maxStreams,
      undefined,
      's-1',
    ]);
  });

  it('reports a service once when it gets a second version', () => {
    const { list } = createVersions();
    expect([list('v1'), list('v1', 'v2'), list('v2', 'v1'), list('v2')]).toEqual([
      [],
      ['app'],
      [],
      [],
    ]);
  });

  // Guards against taking the version that stayed for the one that began a stream.
  it('counts a version that has left until its streams can no longer be resumed', () => {
    const { clock, versions, list } = createVersions();
    list('v1');
    list('v2');
    clock.advance(resumeTime);
    expect(versions.isMixed('app')).toBe(true);
    clock.advance(1);
    expect(versions.getHistory('app')).toEqual({ versions: ['v2'], isCovered: true });
  });

  it('knows of no others only after it has watched for long enough, or from the first start', () => {
    const { clock, versions, list } = createVersions();
    expect(versions.getHistory('app').isCovered).toBe(false);
    list('v1');
    clock.advance(resumeTime - 1);
    expect(versions.getHistory('app').isCovered).toBe(false);
    clock.advance(1);
    expect(versions.getHistory('app').isCovered).toBe(true);
    const first = createVersions(true);
    first.list('v1');
    expect(first.versions.getHistory('app')).toEqual({ versions: ['v1'], isCovered: true });
  });

  // Guards against a stream of two versions: it lasted longer than the version that began it was remembered.
  it('remembers streams and versions for as long as a stream can last', () => {
    const { clock, versions, list } = createVersions();
    versions.setLongestTimeout(resumeTime);
    list('v1');
    versions.record(STREAM);
    list('v2');
    clock.advance(2 * resumeTime);
    expect(versions.find('s-1')).toMatchObject(STREAM);
    expect(versions.getHistory('app').versions).toEqual(['v2', 'v1']);
    clock.advance(1);
    expect(versions.getHistory('app')).toEqual({ versions: ['v2'], isCovered: true });
  });

  it('does not count as covered the time before the time-out was raised', () => {
    const { clock, versions, list } = createVersions(true);
    list('v1');
    list('v2');
    clock.advance(resumeTime + 1);
    list('v2');
    versions.setLongestTimeout(resumeTime);
    expect(versions.getHistory('app')).toEqual({ versions: ['v2'], isCovered: false });
    clock.advance(resumeTime);
    expect(versions.getHistory('app').isCovered).toBe(true);
  });

  // Guards against a stream of two versions: a daemon without the store took the old version for the only one.
  it('does not count versions as covered with an old list', () => {
    const { versions, list, known } = createVersions(true);
    list('v1');
    known.age = resumeTime / 2 + 1;
    expect(versions.getHistory('app')).toEqual({ versions: ['v1'], isCovered: false });
  });
});
