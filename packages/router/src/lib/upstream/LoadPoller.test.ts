import { ManualClock, createRandom } from '@apricotrill/utils';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { defaultRouterOptions } from '../options.js';
import { LoadPoller } from './LoadPoller.js';

/*
 * Guards against polling that grows with the fleet: with hundreds of replicas that send this daemon
 * no response within a second, polling each of them every second would cost more than all other
 * control.
 */
describe('LoadPoller', () => {
  it('polls a limited number of replicas per interval, and each replica in turn', async () => {
    const polledHosts: string[] = [];
    const server = createServer((request, response) => {
      polledHosts.push(request.headers.host ?? '');
      response.end(JSON.stringify({ running: 0, waiting: 0, measuredAt: 1, leaving: false }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const count = 2 * defaultRouterOptions.maxLoadPolls;
    const clock = new ManualClock(10_000);
    const reported = new Set<string>();
    const waitForReports = (wanted: number) =>
      new Promise<void>((resolve) => {
        const check = () => (reported.size >= wanted ? resolve() : setImmediate(check));
        check();
      });
    const poller = new LoadPoller(clock, createRandom(1), {
      onReport: ({ replica }) => reported.add(replica),
      onLeaving: () => undefined,
      onReturned: () => undefined,
    });
    poller.setReplicas(
      Array.from({ length: count }, (_, index) => ({
        id: `engine-${index}`,
        service: 'engines',
        availabilityZone: 'espoo',
        host: '127.0.0.1',
        port,
        slots: 1,
        checksFencing: false,
        placement: [],
      })),
    );
    clock.advance(defaultRouterOptions.loadPollInterval * 1.2);
    await waitForReports(defaultRouterOptions.maxLoadPolls);
    expect(polledHosts).toHaveLength(defaultRouterOptions.maxLoadPolls);
    clock.advance(defaultRouterOptions.loadPollInterval * 1.2);
    await waitForReports(count);
    expect(reported.size).toBe(count);
    poller.dispose();
    server.close();
    server.closeAllConnections();
  });
});
