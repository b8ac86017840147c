import { ManualClock } from '@apricotrill/utils';
import { createReplica } from '../../../test/fixtures.js';
import { ProbeResult } from '../../decide/messages.js';
import type { RelayEvent } from '../../observe/RelayEvent.js';
import { pathOptions } from '../pathOptions.js';
import { SilenceWatch } from './SilenceWatch.js';

describe('SilenceWatch', () => {
  let clock: ManualClock;
  let events: RelayEvent[];
  let probed: string[];
  let failing: 'check' | 'probe' | undefined;
  let watch: SilenceWatch;

  function failOnce(step: typeof failing): void {
    if (failing === step) {
      failing = undefined;
      throw new Error('provoked error');
    }
  }

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    probed = [];
    failing = undefined;
    watch = new SilenceWatch({
      clock,
      log: (event) => events.push(event),
      getSilence: () => {
        failOnce('check');
        return pathOptions.maxSilence;
      },
      probe: async ({ id }) => {
        probed.push(id);
        failOnce('probe');
        return Promise.resolve(ProbeResult.Up);
      },
    });
    ['e-1', 'e-2'].forEach((id) =>
      watch.add({ replica: createReplica(id), getDirectSilence: () => pathOptions.maxSilence }),
    );
  });

  afterEach(() => watch.dispose());

  async function runCheck(): Promise<void> {
    clock.advance(pathOptions.silenceCheckInterval);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  const fault = {
    event: 'fault',
    step: 'probe silent replicas',
    error: expect.stringMatching(/provoked.*\n\s+at /),
  };

  // Guards against silent attempts that are never checked again after an error in a check.
  it('checks again after an error in a check', async () => {
    failing = 'check';
    await runCheck();
    expect(probed).toEqual([]);
    await runCheck();
    expect(probed).toEqual(['e-1', 'e-2']);
    expect(events).toEqual([fault]);
  });

  // Guards against an error of a probe that is reported as one of the whole process.
  it('probes again after an error of a probe', async () => {
    failing = 'probe';
    await runCheck();
    expect(events).toEqual([fault]);
    await runCheck();
    expect(probed).toEqual(['e-1', 'e-2', 'e-1', 'e-2']);
  });
});
