import { AdmissionReplay } from '../../../../test/AdmissionReplay.js';
import { createReplayApplicant } from '../../../../test/createReplayApplicant.js';
import { admissionOptions } from '../admissionOptions.js';
import { EngineRoom } from './EngineRoom.js';

const MAX_BACKLOG = 300;

/** An engine with some requests of 4,000 tokens, of which it prefills 40 a millisecond. */
function createRoom(requests: number, { memoryTokens = 300_000, now = 0 } = {}): EngineRoom {
  const replay = new AdmissionReplay({ engines: 1, slots: 4 });
  const { state } = replay.engines[0]!;
  for (let index = 0; index < requests; index += 1) {
    replay.sendAtOnce(createReplayApplicant(`r-${index}`));
  }
  const profile = { slots: 4, memoryTokens, cacheListeners: 1, eventTokens: 1 };
  const options = admissionOptions;
  return new EngineRoom({ state, profile, now, maxBacklog: MAX_BACKLOG, options });
}

const demand = { missingTokens: 4_000, memoryTokens: 4_050 };

describe('EngineRoom', () => {
  it('takes requests as long as their prompts are prefilled within the bound', () => {
    // Guards against a full queue at the engine, where an urgent request waits for all of it.
    expect([0, 2, 3].map((requests) => createRoom(requests).fits(demand))).toEqual([
      true,
      true,
      false,
    ]);
  });

  it('takes a request beyond the bound if it is idle', () => {
    // Guards against a prompt that is too large to begin anywhere.
    const large = { missingTokens: 80_000, memoryTokens: 500_000 };
    expect(createRoom(0).fits(large)).toBe(true);
    expect(createRoom(1).fits(large)).toBe(false);
  });

  it('counts the requests that could begin at once', () => {
    expect([0, 1, 4].map((requests) => createRoom(requests).countRequests(4_000))).toEqual([
      4, 3, 0,
    ]);
    expect(createRoom(0).countRequests(0)).toBe(4);
    expect(createRoom(2).countRequests(8_000)).toBe(1);
  });

  it('takes no request without a free slot or memory', () => {
    expect(createRoom(4).isOpen).toBe(false);
    expect(createRoom(1, { memoryTokens: 8_000 }).fits(demand)).toBe(false);
  });

  it('takes no request while a first token is overdue', () => {
    // Guards against an engine that has stopped, and seems idle by the time since it got its requests.
    expect(createRoom(1, { now: 150 }).isOpen).toBe(true);
    const stopped = createRoom(1, { now: 1_000 });
    expect(stopped.isOpen).toBe(false);
    expect(stopped.backlog).toBeGreaterThan(MAX_BACKLOG);
  });
});
