import { ManualClock } from '@apricotrill/utils';
import { HeldBytes } from '../../memory/HeldBytes/HeldBytes.js';
import { HeldKind } from '../../memory/HeldKind.js';
import { memoryOptions } from '../../memory/memoryOptions.js';
import { ResponseBuffers } from '../../memory/ResponseBuffers/ResponseBuffers.js';
import type { CallerResponse } from '../CallerResponse.js';
import { PauseReason, ResponseFlow } from './ResponseFlow.js';

const { maxCutDelay, minUnreadTime, pausedResponseBytes } = memoryOptions;

const BUDGET = 1_000;

const QUEUED_BYTES = 300;

describe('ResponseFlow', () => {
  let clock: ManualClock;
  let held: HeldBytes;
  let buffers: ResponseBuffers;
  let isReading: boolean;
  let drain: () => void;
  let pauses: PauseReason[];
  let source: { isPaused: boolean; pause: () => void; resume: () => void };

  beforeEach(() => {
    clock = new ManualClock();
    held = new HeldBytes();
    buffers = new ResponseBuffers({ held, isExceeded: () => held.total > BUDGET });
    isReading = true;
    drain = () => undefined;
    pauses = [];
    source = {
      isPaused: false,
      pause: () => Object.assign(source, { isPaused: true }),
      resume: () => Object.assign(source, { isPaused: false }),
    };
  });

  function createFlow(): ResponseFlow {
    const callerResponse = {
      queuedBytes: QUEUED_BYTES,
      write: () => isReading,
      onceDrained: (callback: () => void) => {
        drain = callback;
      },
    };
    const flow = new ResponseFlow({
      clock,
      callerResponse: callerResponse as unknown as CallerResponse,
      holding: held.open(),
      buffers,
      onPaused: (reason) => pauses.push(reason),
    });
    flow.start(source);
    return flow;
  }

  function block(flow: ResponseFlow): void {
    isReading = false;
    flow.write(Buffer.from('x'));
  }

  it('pauses a stream at its replica until the caller reads, and counts what is queued', () => {
    const flow = createFlow();
    flow.write(Buffer.from('x'));
    expect(source.isPaused).toBe(false);
    block(flow);
    flow.write(Buffer.from('x'));
    expect(source.isPaused).toBe(true);
    expect(held.total).toBe(QUEUED_BYTES + pausedResponseBytes);
    drain();
    expect(source.isPaused).toBe(false);
    expect(held.total).toBe(0);
    expect(pauses).toEqual([PauseReason.Caller]);
  });

  // Guards against a replica that is blamed for a caller that does not read, and against one that is not
  // blamed for its own failure.
  it('tells an unread response from one that breaks by itself', () => {
    const flow = createFlow();
    block(flow);
    clock.advance(minUnreadTime - 1);
    expect(flow.isUnread).toBe(false);
    clock.advance(1);
    expect(flow.isUnread).toBe(true);
    drain();
    clock.advance(maxCutDelay - 1);
    expect(flow.isUnread).toBe(true);
    clock.advance(1);
    expect(flow.isUnread).toBe(false);
    block(flow);
    drain();
    expect(flow.isUnread).toBe(false);
  });

  it('forgets with the next attempt that the response of the last one was unread', () => {
    const flow = createFlow();
    block(flow);
    clock.advance(minUnreadTime);
    drain();
    flow.end(false);
    flow.start(source);
    expect(flow.isUnread).toBe(false);
  });

  // Guards against attempts that are used up one after the other while the caller does not read.
  it('reports that the caller reads once it does', () => {
    const flow = createFlow();
    let reports = 0;
    const report = () => {
      reports += 1;
    };
    flow.onceReading(report);
    expect(reports).toBe(1);
    block(flow);
    flow.onceReading(report);
    expect(reports).toBe(1);
    drain();
    expect(reports).toBe(2);
  });

  it('pauses a plain response while memory is full, but not the oldest one', () => {
    const oldest = createFlow();
    oldest.recordBuffered(BUDGET);
    const flow = createFlow();
    flow.recordBuffered(1);
    expect(source.isPaused).toBe(true);
    expect(pauses).toEqual([PauseReason.Memory]);
    oldest.end(false);
    expect(source.isPaused).toBe(false);
    expect(held.total).toBe(1);
    flow.end(true);
    expect([...held.getCounts()].find(([kind]) => kind === HeldKind.Response)?.[1]).toBe(1);
  });
});
