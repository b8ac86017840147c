import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { RouteKind } from '../../config/RelayConfiguration.js';
import { AttemptEnd, CancelReason } from '../messages.js';
import type { PlacementEffect, PlacementRequest } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';

const STREAM = { kind: RouteKind.Stream, isRetryable: true, deadline: 15_000 };

const REPLICAS = ['i-0', 'i-1', 'i-2'].map((id) => createReplica(id, { slots: 50 }));

const ONE_RETRY = { retryRatio: 0, retrySlack: 1 };
const MANY_RETRIES = { retryRatio: 1, retrySlack: 50 };

/** Longer than the wait for a first byte, and shorter than a sound replica may be silent. */
const SILENCE = 1_200;

/** Time after which requests are repeated elsewhere, at the latest. */
const STREAM_TIMEOUT = 900;

describe('PlacementCore with attempts that are to be replaced', () => {
  let harness: CoreHarness;

  function start(options: Partial<PlacementOptions>): void {
    harness = new CoreHarness([createService('app')], REPLICAS, options);
    harness.core.handle({ kind: 'daemons', count: 1 });
  }

  function submit(id: string, parts: Partial<PlacementRequest> = {}): void {
    harness.submit(createRequest(id, { ...STREAM, ...parts }));
  }

  function getLastAttempt(id: string): Extract<PlacementEffect, { kind: 'send' }> {
    return harness.getEffects('send').findLast((effect) => effect.id === id)!;
  }

  /** Submits streams until some have begun at one replica. @returns their IDs */
  function beginStreams(replica: string, count: number): string[] {
    const ids: string[] = [];
    for (let index = 0; ids.length < count; index += 1) {
      const id = `s-${replica}-${index}`;
      submit(id);
      const { attempt } = getLastAttempt(id);
      harness.core.handle({ kind: 'first-byte-received', id, attempt });
      harness.core.handle({ kind: 'stream-started', id, attempt });
      if (getLastAttempt(id).replica.id === replica) {
        ids.push(id);
      }
    }
    return ids;
  }

  /** Records that all replicas but one have sent something. */
  function recordContact(silent: string): void {
    REPLICAS.filter(({ id }) => id !== silent).forEach(({ id }) =>
      harness.core.handle({ kind: 'contact', replica: id }),
    );
  }

  function strand(ids: readonly string[]): void {
    ids.forEach((id) => harness.core.handle({ kind: 'attempt-stranded', id, attempt: 1 }));
    harness.getEffects('cancel').forEach(({ id, attempt }) => {
      harness.end(id, attempt, AttemptEnd.Cancelled);
    });
  }

  // Guards against streams that are all cancelled for the same last retry.
  it('cancel no more streams of a lost path than can begin again', () => {
    start(ONE_RETRY);
    const streams = beginStreams('i-0', 5);
    strand(streams);
    expect(harness.getEffects('give-up')).toEqual([]);
    expect(harness.getEffects('cancel')).toMatchObject([{ reason: CancelReason.PathLost }]);
    expect(harness.getEffects('send').filter(({ attempt }) => attempt === 2)).toHaveLength(1);
  });

  // Guards against a stream that is cancelled while no other replica of its version is in service.
  it('cancel no stream of a lost path for which there is no other replica', () => {
    const replicas = REPLICAS.map((replica, index) => ({
      ...replica,
      softwareVersion: `v${index}`,
    }));
    harness = new CoreHarness([createService('app')], replicas, MANY_RETRIES);
    strand(beginStreams('i-0', 2));
    expect(harness.getEffects('give-up')).toEqual([]);
    expect(harness.getEffects('cancel')).toEqual([]);
  });

  // Guards against retries that are spent on replicas that are as silent as the first one.
  it('do not move to replicas that are silent as well', () => {
    start(MANY_RETRIES);
    Array.from({ length: 30 }, (_item, index) => submit(`r-${index}`));
    harness.clock.advance(SILENCE);
    expect(harness.getEffects('cancel')).toEqual([]);
    expect(harness.getEffects('send').filter(({ attempt }) => attempt > 1)).toEqual([]);
  });

  // Guards against retries that are spent on idle replicas while all others are silent.
  it('do not move to idle replicas while all others are silent', () => {
    const replicas = Array.from({ length: 9 }, (_item, index) => createReplica(`i-${index}`));
    harness = new CoreHarness([createService('app')], replicas, MANY_RETRIES);
    harness.core.handle({ kind: 'daemons', count: 1 });
    Array.from({ length: 5 }, (_item, index) => submit(`r-${index}`));
    harness.clock.advance(SILENCE);
    expect(new Set(harness.getEffects('send').map(({ replica }) => replica.id)).size).toBe(5);
    expect(harness.getEffects('cancel')).toEqual([]);
  });

  // Guards against replicas that count as silent while they send long streams and nothing else.
  it('move to a replica that goes on with streams that have begun', () => {
    start(MANY_RETRIES);
    REPLICAS.forEach(({ id }) => beginStreams(id, 2));
    harness.clock.advance(SILENCE);
    submit('r');
    const { id: silent } = getLastAttempt('r').replica;
    for (let elapsed = 0; elapsed < STREAM_TIMEOUT; elapsed += 100) {
      recordContact(silent);
      harness.clock.advance(100);
    }
    expect(getLastAttempt('r').replica.id).not.toBe(silent);
  });

  // Guards against callers that wait for a silent replica while another one responds.
  it('move to a replica that responds', () => {
    start(MANY_RETRIES);
    submit('r');
    const { id: silent } = getLastAttempt('r').replica;
    harness.clock.advance(STREAM_TIMEOUT);
    expect(harness.getEffects('cancel')).toMatchObject([{ id: 'r', reason: CancelReason.Silent }]);
    expect(getLastAttempt('r').replica.id).not.toBe(silent);
  });
});
