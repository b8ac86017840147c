import { ManualClock, createRandom } from '@apricotrill/utils';
import type { ObjectList, ObjectSource, WatchResult } from './ObjectSource.js';
import { StateFollower, followOptions } from './StateFollower.js';

type Answer<Value> = Value | Error;

/** A source whose every answer the test gives. */
class ScriptedSource implements ObjectSource<string> {
  readonly calls: string[] = [];

  readonly waits: number[] = [];

  private waiting: ((answer: Answer<unknown>) => void) | undefined;

  list(): Promise<ObjectList<string>> {
    return this.call('list') as Promise<ObjectList<string>>;
  }

  watch(revision: number, wait: number, signal: AbortSignal): Promise<WatchResult<string>> {
    this.waits.push(wait);
    signal.addEventListener('abort', () => this.waiting?.(new Error('aborted')));
    return this.call(`watch ${revision}`) as Promise<WatchResult<string>>;
  }

  /** Answers the call that waits, and lets the follower take it in. */
  async answer(answer: Answer<ObjectList<string> | WatchResult<string>>): Promise<void> {
    this.waiting!(answer);
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
      this.waiting = (answer) => (answer instanceof Error ? reject(answer) : resolve(answer));
    });
  }
}

function listOf(revision: number, ...names: string[]): ObjectList<string> {
  return { revision, items: new Map(names.map((name) => [name, name])) };
}

function changesOf(revision: number, ...changes: [string, string | undefined][]) {
  return {
    kind: 'changes' as const,
    revision,
    changes: changes.map(([name, item]) => ({ name, item })),
  };
}

describe('StateFollower', () => {
  /** Without a pace, unless a test is about it, so that the next call follows an answer at once. */
  async function setUp(pace = 0) {
    const clock = new ManualClock();
    const source = new ScriptedSource();
    const seen: string[][] = [];
    const log: string[] = [];
    const follower = new StateFollower({
      source,
      clock,
      random: createRandom(1),
      options: { pace },
      listener: {
        onObjects: (items) => seen.push([...items.keys()].sort()),
        onLost: () => log.push('lost'),
        onReconnected: () => log.push('regained'),
        onRetained: (name) => log.push(`kept ${name}`),
      },
    });
    follower.run().catch((error: unknown) => log.push(String(error)));
    await ScriptedSource.settle();
    return { clock, source, seen, log, follower };
  }

  it('lists once, then watches on from what it has', async () => {
    const { source, seen } = await setUp();
    await source.answer(listOf(5, 'a'));
    await source.answer(changesOf(7, ['b', 'b'], ['a', undefined]));
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 7']);
    expect(seen).toEqual([['a'], ['b']]);
  });

  // Symptom: a start of all daemons uses up the calls that the store takes. Sequence: all replicas
  // start with them and write their entries one after the other. Cause: each entry ended a watch.
  it('lets changes that come close together gather before it watches again', async () => {
    const { clock, source, seen } = await setUp(followOptions.pace);
    await source.answer(listOf(5, 'a'));
    await source.answer(changesOf(6, ['b', 'b']));
    expect(seen).toEqual([['a'], ['a', 'b']]);
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(followOptions.pace);
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 6']);
    // After a quiet moment there is nothing to wait for.
    clock.advance(followOptions.pace);
    await source.answer(changesOf(7, ['c', 'c']));
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 6', 'watch 7']);
  });

  // Symptom: a replica that left gets requests until a watch is over, although other daemons know.
  // Sequence: the connection of a watch goes silent. Cause: nothing was heard but the own watch.
  it('gives a silent watch up when another daemon has heard of a change', async () => {
    const { clock, source, follower, log } = await setUp();
    follower.setDaemonCount(74);
    await source.answer(listOf(5, 'a'));
    clock.advance(500);
    follower.recordPeerRevision(6);
    await ScriptedSource.settle();
    // Its answer may still be on its way.
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(500);
    follower.recordPeerRevision(5);
    follower.recordPeerRevision(6);
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'watch 5']);
    expect(source.waits.at(-1)).toBe(1);
    await source.answer(changesOf(6, ['a', undefined]));
    expect(source.waits.at(-1)).toBeGreaterThan(followOptions.watchWait);
    expect(log).toEqual([]);
  });

  // Symptom: a daemon asks the store as fast as it answers. Sequence: lists lag behind, and the
  // history that a watch would need is gone. Cause: from one to the other and back without a pause.
  it('pauses between lists that lag behind the history', async () => {
    const { clock, source } = await setUp(followOptions.pace);
    await source.answer(listOf(5, 'a'));
    await source.answer({ kind: 'history-expired' });
    expect(source.calls).toEqual(['list', 'watch 5']);
    clock.advance(followOptions.pace);
    await ScriptedSource.settle();
    expect(source.calls).toEqual(['list', 'watch 5', 'list']);
  });

  it('waits longer where more daemons watch, and never beyond the longest', async () => {
    const { source, follower } = await setUp();
    follower.setDaemonCount(8);
    await source.answer(listOf(5, 'a'));
    expect(source.waits.at(-1)).toBe(followOptions.watchWait);
    follower.setDaemonCount(1_800);
    await source.answer(changesOf(6));
    expect(source.waits.at(-1)).toBeGreaterThan(followOptions.longestWait / 2);
    expect(source.waits.at(-1)).toBeLessThanOrEqual(followOptions.longestWait * 1.25);
  });

  // Symptom: a replica that left gets requests for minutes. Sequence: the store drops its history
  // while a replica leaves. Cause: a watch that begins after the gap never tells of it.
  it('lists again when the history is gone, and drops what left in the gap', async () => {
    const { source, seen } = await setUp();
    await source.answer(listOf(5, 'a', 'b'));
    await source.answer({ kind: 'history-expired' });
    await source.answer(listOf(9, 'b'));
    expect(source.calls).toEqual(['list', 'watch 5', 'list', 'watch 9']);
    expect(seen.at(-1)).toEqual(['b']);
  });

  it('never goes back to an older state', async () => {
    const { source, seen } = await setUp();
    await source.answer(listOf(5, 'a', 'b'));
    await source.answer({ kind: 'history-expired' });
    await source.answer(listOf(3, 'a'));
    expect(seen.at(-1)).toEqual(['a', 'b']);
  });

  it('keeps what it knows while the store is away, and asks again with pauses', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.answer(listOf(5, 'a'));
    await source.answer(new Error('down'));
    expect(source.calls).toHaveLength(2);
    clock.advance(followOptions.longestPause);
    await ScriptedSource.settle();
    await source.answer(changesOf(5));
    expect(log).toEqual(['lost', 'regained']);
    expect(seen).toEqual([['a']]);
  });

  // Symptom: after an outage of the store all replicas are gone for two seconds. Sequence: entries
  // lapse while replicas can't renew them; the store comes back and tells of the deletions. Cause:
  // a deletion was taken for the end of the replica.
  it('keeps what lapsed during an outage until it could have come back', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.answer(listOf(5, 'a', 'b'));
    await source.answer(new Error('down'));
    clock.advance(followOptions.longestPause);
    await ScriptedSource.settle();
    await source.answer(changesOf(8, ['a', undefined], ['b', undefined]));
    expect(log).toContain('kept a');
    await source.answer(changesOf(9, ['a', 'a']));
    expect(seen.at(-1)).toEqual(['a', 'b']);
    clock.advance(followOptions.returnGrace);
    expect(seen.at(-1)).toEqual(['a']);
  });

  // Symptom: a replica that left gets requests for 2.5 s. Sequence: a daemon is cut off from the
  // store and back; nothing changes for two seconds; a replica leaves. Cause: the watch after the
  // return waited for a change, so that the return was noticed only with the deletion, which was
  // then taken for a lapse of the outage.
  it('notices the return of the store at once, not with the next change', async () => {
    const { clock, source, seen, log } = await setUp();
    await source.answer(listOf(5, 'a'));
    await source.answer(new Error('cut'));
    clock.advance(followOptions.longestPause);
    await ScriptedSource.settle();
    expect(source.waits.at(-1)).toBeLessThan(10);
    await source.answer(changesOf(5));
    expect(log).toEqual(['lost', 'regained']);
    expect(source.waits.at(-1)).toBe(followOptions.watchWait);
    clock.advance(followOptions.returnGrace);
    await source.answer(changesOf(6, ['a', undefined]));
    expect(seen.at(-1)).toEqual([]);
  });

  it('drops at once what is deleted while the store is there', async () => {
    const { source, seen, log } = await setUp();
    await source.answer(listOf(5, 'a'));
    await source.answer(changesOf(6, ['a', undefined]));
    expect(seen.at(-1)).toEqual([]);
    expect(log).toEqual([]);
  });
});
