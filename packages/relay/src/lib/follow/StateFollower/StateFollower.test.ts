import { ManualClock, createRandom } from '@apricotrill/utils';
import type { ObjectList, ObjectSource, WatchResult } from './ObjectSource.js';
import { StateFollower, defaultStateFollowerOptions } from './StateFollower.js';
import type { StateListener } from './StateFollower.js';

type Response<Value> = Value | Error;

/** A source whose responses are given by the test. */
class ScriptedSource implements ObjectSource<string> {
  readonly calls: string[] = [];

  readonly waits: number[] = [];

  private onProgress: (() => void) | undefined;

  private finishCall: ((response: Response<unknown>) => void) | undefined;

  list(): Promise<ObjectList<string>> {
    return this.call('list') as Promise<ObjectList<string>>;
  }

  watch(
    revision: number,
    wait: number,
    signal: AbortSignal,
    onProgress?: () => void,
  ): Promise<WatchResult<string>> {
    this.waits.push(wait);
    this.onProgress = onProgress;
    signal.addEventListener('abort', () => this.finishCall?.(new Error('aborted')));
    return this.call(`watch ${revision}`) as Promise<WatchResult<string>>;
  }

  /** Reports that a part of the response to the watch in flight has arrived. */
  reportProgress(): void {
    this.onProgress?.();
  }

  /** Responds to the call in flight, and waits until the follower has handled the response. */
  async respond(response: Response<ObjectList<string> | WatchResult<string>>): Promise<void> {
    this.finishCall!(response);
    await ScriptedSource.settle();
  }

  static async settle(): Promise<void> {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  private call(name: string): Promise<unknown> {
    this.calls.push(name);
    return new Promise((resolve, reject) => {
      this.finishCall = (response) =>
        response instanceof Error ? reject(response) : resolve(response);
    });
  }
}

function createEraList(
  era: number | undefined,
  revision: number,
  ...names: string[]
): ObjectList<string> {
  return { era, revision, items: new Map(names.map((name) => [name, name])) };
}

function createList(revision: number, ...names: string[]): ObjectList<string> {
  return createEraList(undefined, revision, ...names);
}

function createChanges(revision: number, ...changes: [string, string | undefined][]) {
  return {
    kind: 'changes' as const,
    revision,
    changes: changes.map(([name, item]) => ({ name, item })),
  };
}

describe('StateFollower', () => {
  /** By default there is no minimum interval, so that the next call follows a response at once. */
  async function setUp(minWatchInterval = 0, overrides: Partial<StateListener<string>> = {}) {
    const clock = new ManualClock();
    const source = new ScriptedSource();
    const seen: string[][] = [];
    const log: string[] = [];
    const follower = new StateFollower({
      source,
      clock,
      random: createRandom(1),
      options: { minWatchInterval },
      listener: {
        onObjects: (items) => seen.push([...items.keys()].sort()),
        onLost: () => log.push('lost'),
        onReconnected: () => log.push('reconnected'),
        onEraChanged: ({ era, previous }) => log.push(`era ${previous} to ${era}`),
        onRead: () => undefined,
        onWatchAborted: () => undefined,
        onRetained: (name) => log.push(`retained ${name}`),
        onFault: (error) => log.push(`fault ${String(error)}`),
        ...overrides,
      },
    });
    follower.run().catch((error: unknown) => log.push(String(error)));
    await ScriptedSource.settle();
    return { clock, source, seen, log, follower };
  }

  it('lists once, then watches from the last revision', async () => {
    const { source, seen } = await setUp();
    await source.respond(createList(5, 'a'));
    await source.respond(createChanges(7, ['b', 'b'], ['a', undefined]));
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 7']);
    expect(seen).toEqual([['a'], ['b']]);
  });

  // Guards against a common start of all daemons and replicas that exhausts the capacity of the store:
  // the replicas wrote their entries one after the other, and each entry ended a watch.
  it('combines changes in quick succession before it watches again', async () => {
    const { clock, source, seen } = await setUp(defaultStateFollowerOptions.minWatchInterval);
    await source.respond(createList(5, 'a'));
    await source.respond(createChanges(6, ['b', 'b']));
    expect(seen).toEqual([['a'], ['a', 'b']]);
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(defaultStateFollowerOptions.minWatchInterval);
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 6']);
    // After a quiet period, there is no delay.
    clock.advance(defaultStateFollowerOptions.minWatchInterval);
    await source.respond(createChanges(7, ['c', 'c']));
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 6', 'watch 7']);
  });

  // Guards against requests to a replica that has left, while the watch is on a dead connection and
  // other daemons already know of the change.
  it('aborts a watch when another daemon knows a newer revision', async () => {
    const { clock, source, follower, log } = await setUp();
    follower.setDaemonCount(74);
    await source.respond(createList(5, 'a'));
    clock.advance(500);
    follower.recordPeerPosition({ revision: 6 });
    await ScriptedSource.settle();
    // The response to the watch may still arrive.
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(500);
    follower.recordPeerPosition({ revision: 5 });
    follower.recordPeerPosition({ revision: 6 });
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 5']);
    expect(source.waits.at(-1)).toBe(1);
    await source.respond(createChanges(6, ['a', undefined]));
    expect(source.waits.at(-1)).toBeGreaterThan(defaultStateFollowerOptions.minWatchWait);
    expect(log).toEqual([]);
  });

  // Guards against a large response that is thrown away and requested again for as long as others announce
  // the change that it brings.
  it('does not abort a watch whose response is arriving', async () => {
    const { clock, source, follower } = await setUp();
    await source.respond(createList(5, 'a'));
    for (let part = 0; part < 4; part += 1) {
      clock.advance(900);
      source.reportProgress();
      follower.recordPeerPosition({ revision: 6 });
      // eslint-disable-next-line no-await-in-loop
      await ScriptedSource.settle();
    }
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(1_000);
    follower.recordPeerPosition({ revision: 6 });
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 5']);
  });

  // Guards against calls as fast as the store responds: if lists lag behind the history that is left,
  // the follower alternated between lists and expired watches without a delay.
  it('keeps the minimum interval between lists that lag behind the history', async () => {
    const { clock, source } = await setUp(defaultStateFollowerOptions.minWatchInterval);
    await source.respond(createList(5, 'a'));
    await source.respond({ kind: 'history-expired' });
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(defaultStateFollowerOptions.minWatchInterval);
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'list']);
  });

  it('waits longer in a larger fleet, up to the maximum', async () => {
    const { source, follower } = await setUp();
    follower.setDaemonCount(8);
    await source.respond(createList(5, 'a'));
    expect(source.waits.at(-1)).toBe(defaultStateFollowerOptions.minWatchWait);
    follower.setDaemonCount(1_800);
    await source.respond(createChanges(6));
    expect(source.waits.at(-1)).toBeGreaterThan(defaultStateFollowerOptions.maxWatchWait / 2);
    expect(source.waits.at(-1)).toBeLessThanOrEqual(
      defaultStateFollowerOptions.maxWatchWait * 1.25,
    );
  });

  // Guards against requests to a replica that left minutes ago: it was deleted in a part of the
  // history that the store has dropped, so that no later watch reports it.
  it('lists again when the history has expired, and drops objects that were deleted since', async () => {
    const { source, seen } = await setUp();
    await source.respond(createList(5, 'a', 'b'));
    await source.respond({ kind: 'history-expired' });
    await source.respond(createList(9, 'b'));
    expect(source.calls).toEqual(['list', 'watch 5', 'list', 'watch 9']);
    expect(seen.at(-1)).toEqual(['b']);
  });

  it('ignores a list that is older than the known state', async () => {
    const { source, seen } = await setUp();
    await source.respond(createList(5, 'a', 'b'));
    await source.respond({ kind: 'history-expired' });
    await source.respond(createList(3, 'a'));
    expect(seen.at(-1)).toEqual(['a', 'b']);
  });

  it('keeps the known objects during an outage, and retries with delays', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.respond(createList(5, 'a'));
    await source.respond(new Error('down'));
    expect(source.calls).toHaveLength(2);
    clock.advance(defaultStateFollowerOptions.maxRetryDelay);
    await ScriptedSource.settle();
    await source.respond(createChanges(5));
    expect(log).toEqual(['lost', 'reconnected']);
    expect(seen).toEqual([['a']]);
  });

  // Guards against the loss of all replicas for two seconds after an outage of the store: their
  // entries expired while they could not renew them, and the deletions were treated as departures.
  it('retains entries that expired during an outage until their owners can have renewed them', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.respond(createList(5, 'a', 'b'));
    await source.respond(new Error('down'));
    clock.advance(defaultStateFollowerOptions.maxRetryDelay);
    await ScriptedSource.settle();
    await source.respond(createChanges(8, ['a', undefined], ['b', undefined]));
    expect(log).toContain('retained a');
    await source.respond(createChanges(9, ['a', 'a']));
    expect(seen.at(-1)).toEqual(['a', 'b']);
    clock.advance(defaultStateFollowerOptions.reconnectGrace);
    expect(seen.at(-1)).toEqual(['a']);
  });

  // Guards against requests to a replica that left up to 2.5 s ago: the first watch after an outage
  // waited for a change, so that the outage seemed to end only with the deletion two seconds later,
  // which was then treated as an entry that expired during the outage.
  it('notices the end of an outage at once, not with the next change', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.respond(createList(5, 'a'));
    await source.respond(new Error('cut'));
    clock.advance(defaultStateFollowerOptions.maxRetryDelay);
    await ScriptedSource.settle();
    expect(source.waits.at(-1)).toBeLessThan(10);
    await source.respond(createChanges(5));
    expect(log).toEqual(['lost', 'reconnected']);
    expect(source.waits.at(-1)).toBe(defaultStateFollowerOptions.minWatchWait);
    clock.advance(defaultStateFollowerOptions.reconnectGrace);
    await source.respond(createChanges(6, ['a', undefined]));
    expect(seen.at(-1)).toEqual([]);
  });

  it('drops deleted objects at once while the store is available', async () => {
    const { source, seen, log } = await setUp();
    await source.respond(createList(5, 'a'));
    await source.respond(createChanges(6, ['a', undefined]));
    expect(seen.at(-1)).toEqual([]);
    expect(log).toEqual([]);
  });

  // Guards against ignoring a store that came back from an older copy until its revision has grown.
  it('lists again and applies the list if a watch reports a later era, whatever its revision', async () => {
    const { source, seen, log } = await setUp();
    await source.respond(createEraList(1, 50, 'a'));
    await source.respond({ ...createChanges(60, ['c', 'c']), era: 2 });
    expect(source.calls).toEqual(['list', 'watch 50', 'list']);
    await source.respond(createEraList(2, 20, 'a', 'b'));
    expect(seen).toEqual([['a'], ['a', 'b']]);
    expect(source.calls.at(-1)).toBe('watch 20');
    await source.respond({ ...createChanges(21, ['b', undefined]), era: 2 });
    expect(log).toEqual(['era undefined to 1', 'era 1 to 2', 'retained b']);
  });

  it('applies the list of a later era after its history has expired', async () => {
    const { source, seen } = await setUp();
    await source.respond(createEraList(1, 50, 'a'));
    await source.respond({ kind: 'history-expired', era: 2 });
    await source.respond(createEraList(2, 3, 'b', 'a'));
    expect(seen.at(-1)).toEqual(['a', 'b']);
  });

  it('treats a response without an era as one of the known era', async () => {
    const { source, seen } = await setUp();
    await source.respond(createEraList(2, 50, 'a'));
    await source.respond({ kind: 'history-expired' });
    await source.respond(createList(40, 'b'));
    expect(seen).toEqual([['a']]);
    await source.respond(createChanges(51, ['c', 'c']));
    expect(seen.at(-1)).toEqual(['a', 'c']);
  });

  it('reports a response of an earlier era as a failure', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.respond(createEraList(2, 50, 'a'));
    await source.respond({ ...createChanges(60, ['b', 'b']), era: 1 });
    expect(seen).toEqual([['a']]);
    expect(log).toContain('lost');
    clock.advance(defaultStateFollowerOptions.maxRetryDelay);
    await ScriptedSource.settle();
    await source.respond({ ...createChanges(51, ['c', 'c']), era: 2 });
    expect(seen.at(-1)).toEqual(['a', 'c']);
  });

  // Guards against refusing requests because the copy is from before the replicas registered.
  it('retains objects that a restored store lacks, until they can have been written again', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.respond(createEraList(1, 50, 'a', 'b'));
    await source.respond({ kind: 'history-expired', era: 2 });
    await source.respond(createEraList(2, 3, 'a'));
    expect(seen.at(-1)).toEqual(['a', 'b']);
    expect(log).toContain('retained b');
    clock.advance(defaultStateFollowerOptions.reconnectGrace);
    expect(seen.at(-1)).toEqual(['a']);
  });

  // Guards against requests to a replica that was gone before the restore, since the copy is older.
  it('ignores an object of the copy that was deleted before, until it is written again', async () => {
    const { source, seen } = await setUp();
    await source.respond(createEraList(1, 50, 'a', 'b'));
    await source.respond({ ...createChanges(51, ['b', undefined]), era: 1 });
    await source.respond({ kind: 'history-expired', era: 2 });
    await source.respond(createEraList(2, 40, 'a', 'b'));
    expect(seen.at(-1)).toEqual(['a']);
    await source.respond({ ...createChanges(41, ['b', 'b']), era: 2 });
    expect(seen.at(-1)).toEqual(['a', 'b']);
  });

  it('uses such an object if it still exists after a while, and not if the store deletes it', async () => {
    const { clock, source, seen } = await setUp();
    await source.respond(createEraList(1, 50, 'a', 'b', 'c'));
    await source.respond({ ...createChanges(51, ['b', undefined], ['c', undefined]), era: 1 });
    await source.respond({ kind: 'history-expired', era: 2 });
    await source.respond(createEraList(2, 40, 'a', 'b', 'c'));
    await source.respond({ ...createChanges(41, ['c', undefined]), era: 2 });
    expect(seen.at(-1)).toEqual(['a']);
    clock.advance(defaultStateFollowerOptions.restoredObjectDelay);
    expect(seen.at(-1)).toEqual(['a', 'b']);
  });

  // Guards against a replica that is used again because its entry vanished between two lists.
  it('forgets such an object if a later list lacks it', async () => {
    const { clock, source, seen } = await setUp();
    await source.respond(createEraList(1, 50, 'a', 'b'));
    await source.respond({ ...createChanges(51, ['b', undefined]), era: 1 });
    await source.respond({ kind: 'history-expired', era: 2 });
    await source.respond(createEraList(2, 40, 'a', 'b'));
    await source.respond({ kind: 'history-expired', era: 2 });
    await source.respond(createEraList(2, 45, 'a'));
    clock.advance(defaultStateFollowerOptions.restoredObjectDelay);
    expect(seen.at(-1)).toEqual(['a']);
  });

  it('aborts a watch when another daemon knows a later era, and not for an earlier one', async () => {
    const { clock, source, follower } = await setUp();
    await source.respond(createEraList(2, 50, 'a'));
    clock.advance(2_000);
    follower.recordPeerPosition({ era: 1, revision: 90 });
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 50']);
    follower.recordPeerPosition({ era: 3, revision: 7 });
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 50', 'watch 50']);
    expect(source.waits.at(-1)).toBe(1);
  });

  describe('after an error of its listener', () => {
    const fault = 'fault Error: provoked error';

    function fail(): never {
      throw new Error('provoked error');
    }

    // Guards against a daemon that has a change, but goes on as before it until the next one.
    it('reports the objects again', async () => {
      const seen: string[][] = [];
      let isFailing = true;
      const onObjects = (items: ReadonlyMap<string, string>) =>
        isFailing ? fail() : seen.push([...items.keys()]);
      const { clock, source, log } = await setUp(0, { onObjects });
      await source.respond(createList(5, 'a'));
      await source.respond(createChanges(7, ['b', 'b']));
      expect(source.calls).toEqual(['list', 'watch 5', 'watch 7']);
      isFailing = false;
      clock.advance(defaultStateFollowerOptions.maxReportDelay);
      expect(seen).toEqual([['a', 'b']]);
      clock.advance(defaultStateFollowerOptions.maxReportDelay);
      expect(seen).toHaveLength(1);
      expect(log).toEqual([fault, fault]);
    });

    it('does not report the objects again once it is disposed', async () => {
      const { clock, source, log, follower } = await setUp(0, { onObjects: fail });
      await source.respond(createList(5, 'a'));
      follower.dispose();
      clock.advance(defaultStateFollowerOptions.maxReportDelay);
      expect(log).toEqual([fault]);
    });

    // Guards against a daemon that ignores a restored store until its revision has passed the known one.
    it('reads a restored store', async () => {
      const { source, seen, log } = await setUp(0, {
        onEraChanged: ({ previous }) => (previous === undefined ? undefined : fail()),
      });
      await source.respond(createEraList(1, 9, 'a'));
      await source.respond({ ...createChanges(9), era: 2 });
      await source.respond(createEraList(2, 4, 'b'));
      expect(seen.at(-1)).toContain('b');
      expect(log).toContain(fault);
    });

    // Guards against changes that are dropped because an error ended the handling of their response.
    it('applies the rest of the response', async () => {
      const { clock, source, seen } = await setUp(0, { onRetained: fail });
      await source.respond(createList(5, 'a', 'b'));
      await source.respond(new Error('no response'));
      clock.advance(defaultStateFollowerOptions.maxRetryDelay);
      await ScriptedSource.settle();
      await source.respond(createChanges(7, ['a', undefined], ['c', 'c']));
      expect(seen.at(-1)).toContain('c');
    });

    // Guards against a daemon that follows the store no more.
    it.each(['onLost', 'onReconnected', 'onRead'] as const)('goes on: %s', async (name) => {
      const { clock, source, seen } = await setUp(0, { [name]: fail });
      await source.respond(createList(5, 'a'));
      await source.respond(new Error('no response'));
      clock.advance(defaultStateFollowerOptions.maxRetryDelay);
      await ScriptedSource.settle();
      await source.respond(createChanges(7, ['b', 'b']));
      expect(seen.at(-1)).toEqual(['a', 'b']);
      expect(source.calls.at(-1)).toBe('watch 7');
    });
  });
});
