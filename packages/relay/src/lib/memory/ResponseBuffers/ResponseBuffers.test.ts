import { HeldBytes } from '../HeldBytes/HeldBytes.js';
import { HeldKind } from '../HeldKind.js';
import { ResponseBuffers } from './ResponseBuffers.js';

const BUDGET = 100;

describe('ResponseBuffers', () => {
  let held: HeldBytes;
  let buffers: ResponseBuffers;

  beforeEach(() => {
    held = new HeldBytes();
    buffers = new ResponseBuffers({ held, isExceeded: () => held.total > BUDGET });
  });

  function createResponse() {
    const holding = held.open();
    const response = {
      isPaused: false,
      pauseForMemory: () => Object.assign(response, { isPaused: true }),
      resumeForMemory: () => Object.assign(response, { isPaused: false }),
      receive: (bytes: number) => {
        holding.set(HeldKind.Response, holding.get(HeldKind.Response) + bytes);
        buffers.recordPart(response);
      },
      end: () => {
        buffers.remove(response);
        holding.release();
      },
    };
    return response;
  }

  it('pauses responses while memory is full, and resumes them when there is room', () => {
    const [first, second, third] = [createResponse(), createResponse(), createResponse()];
    first.receive(40);
    second.receive(40);
    third.receive(40);
    expect([first, second, third].map(({ isPaused }) => isPaused)).toEqual([false, false, true]);
    second.receive(40);
    expect(buffers.pausedCount).toBe(2);
    first.end();
    expect([second, third].map(({ isPaused }) => isPaused)).toEqual([false, true]);
    second.end();
    expect(third.isPaused).toBe(false);
  });

  // Guards against responses that wait for each other's memory, so that none of them ever ends.
  it('always reads the oldest response on', () => {
    const responses = Array.from({ length: 20 }, createResponse);
    responses.forEach((response) => response.receive(10));
    while (responses.length > 0) {
      const next = responses.find(({ isPaused }) => !isPaused)!;
      next.receive(50);
      next.end();
      responses.splice(responses.indexOf(next), 1);
    }
    expect(held.total).toBe(0);
    expect(buffers.pausedCount).toBe(0);
  });
});
