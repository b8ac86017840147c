import { AdmissionReplay } from '../../../../test/AdmissionReplay.js';
import { createReplayApplicant } from '../../../../test/createReplayApplicant.js';
import { admissionOptions } from '../admissionOptions.js';
import { EngineRoom } from '../EngineRoom/EngineRoom.js';
import { WaitForecast } from './WaitForecast.js';

const MAX_BACKLOG = 300;

/** Prompt that an engine prefills in 100 ms. */
const TOKENS = 4_000;

/** Engines with some requests each. */
function createRooms(requests: readonly number[], slots: number): EngineRoom[] {
  const options = admissionOptions;
  return requests.map((count) => {
    const replay = new AdmissionReplay({ engines: 1, slots });
    const { state } = replay.engines[0]!;
    for (let index = 0; index < count; index += 1) {
      replay.sendAtOnce(createReplayApplicant(`r-${index}`));
    }
    const profile = { slots, memoryTokens: 1e6, cacheListeners: 1, eventTokens: 1 };
    return new EngineRoom({ state, profile, now: 0, maxBacklog: MAX_BACKLOG, options });
  });
}

/** Predicts the begins of requests that wait in order. */
function getBegins(rooms: readonly EngineRoom[], count: number): number[] {
  const forecast = new WaitForecast({ hold: 800, maxBacklog: MAX_BACKLOG });
  return Array.from({ length: count }, () => {
    const planned = forecast.predict(rooms, TOKENS)!;
    WaitForecast.add(planned);
    return planned.times.begin;
  });
}

describe('WaitForecast', () => {
  it('plans requests at the engine with the earliest first token, one after the other', () => {
    expect(getBegins(createRooms([0, 1], 8), 6)).toEqual([0, 0, 0, 0, 0, 100]);
  });

  it('expects a slot when one of the running requests ends', () => {
    // Guards against a forecast by prompts alone, where long responses hold all slots.
    expect(getBegins(createRooms([4], 4), 3)).toEqual([200, 400, 600]);
  });

  it('predicts nothing where no engine is in service', () => {
    expect(new WaitForecast({ hold: 1, maxBacklog: 1 }).predict([], TOKENS)).toBeUndefined();
  });
});
