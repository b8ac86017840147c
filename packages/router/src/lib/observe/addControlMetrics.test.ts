import { Registry } from 'prom-client';
import { addControlMetrics } from './addControlMetrics.js';

const NO_CALLS = { reads: 0, writes: 0, watches: 0, waitingWatches: 0 };

describe('addControlMetrics', () => {
  /*
   * Guards against adding the counters of the components to the values of the previous scrape, which
   * would show twice the traffic after two scrapes, and none before the first.
   */
  it('exposes the counters of the components, however often they are scraped', async () => {
    const traffic = { bytesIn: 10, bytesOut: 20, messagesIn: 1, messagesOut: 2 };
    const store = { ...NO_CALLS, reads: 7, bytesSent: 5, bytesReceived: 6 };
    const registry = new Registry();
    addControlMetrics(registry, {
      getTraffic: () => new Map([['gossip', traffic]]),
      getCluster: () => undefined,
      getStore: () => store,
    });
    await registry.metrics();
    traffic.bytesOut = 25;
    store.waitingWatches = 2;
    const text = await registry.metrics();
    expect(text).toContain('apricotrill_mesh_bytes_total{direction="in",topic="gossip"} 10');
    expect(text).toContain('apricotrill_mesh_bytes_total{direction="out",topic="gossip"} 25');
    expect(text).toContain('apricotrill_store_calls_total{kind="read"} 7');
    expect(text).toContain('apricotrill_store_waiting_watches 2');
  });
});
