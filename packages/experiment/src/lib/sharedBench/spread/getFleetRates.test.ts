import type { DaemonSample, FleetSample } from './FleetSample.js';
import { getFleetRates } from './getFleetRates.js';

function getDaemon(values: Partial<DaemonSample>): DaemonSample {
  return {
    at: 0,
    processorTime: 100,
    residentBytes: 1,
    anonymousBytes: 1,
    ioBytes: 1000,
    meshBytes: { membership: 500 },
    meshMessages: 10,
    platformBytes: 50,
    events: { probes: 5 },
    heapBytes: 20,
    ...values,
  };
}

function getSample(at: number, reads: number, daemon: DaemonSample): FleetSample {
  return { at, calls: { reads, writes: 2, watches: 1, waitingWatches: 1 }, daemons: [daemon] };
}

describe('getFleetRates', () => {
  it('divides by the span, the kernel figures by the span between their own readings', () => {
    const before = getSample(0, 10, getDaemon({ at: 1000 }));
    const later = getDaemon({
      at: 11_000,
      processorTime: 300,
      ioBytes: 21_000,
      meshBytes: { membership: 1700, configuration: 800 },
      meshMessages: 50,
      events: { probes: 25 },
      heapBytes: 30,
    });
    const rates = getFleetRates(before, getSample(20_000, 50, later));
    expect(rates.calls).toEqual({ reads: 2, writes: 0, watches: 0 });
    expect(rates.daemons[0]).toEqual({
      core: 0.02,
      ioBytes: 2000,
      meshBytes: 100,
      meshBytesByTopic: { membership: 60, configuration: 40 },
      meshMessages: 2,
      platformBytes: 0,
      events: { probes: 1 },
      heapBytes: 30,
    });
  });
});
