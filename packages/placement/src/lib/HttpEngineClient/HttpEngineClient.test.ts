import { createServer } from 'node:http';
import { subscribe } from 'node:diagnostics_channel';
import { once } from 'node:events';
import { ManualClock } from '@apricotrill/utils';
import type { AddressInfo } from 'node:net';
import type { Server, ServerResponse } from 'node:http';
import { LinkFault, TcpProxy, flushTasks } from '@apricotrill/standins';
import { createConfiguration } from '../../test/PlacementHarness.js';
import { EngineUnavailableError } from '../EngineClient/EngineClient.js';
import { HttpEngineClient } from './HttpEngineClient.js';

const state = { loaded: ['a@1'], loading: [], role: 'mixed', highestFencingNumber: 3 };
const order = { kind: 'load' as const, model: 'a', version: '1' };
const fencedOrder = { fencingNumber: 3, orderId: 'chat/3/1', order };

describe('HttpEngineClient', () => {
  let server: Server;
  let respond: (response: ServerResponse, body: string) => void;
  const clock = new ManualClock();
  const engines = new HttpEngineClient(clock);
  const replica = createConfiguration({ 'chat-1': [] }).register.replicas[0]!;

  beforeAll(async () => {
    server = createServer((request, response) => {
      let body = '';
      request.on('data', (chunk) => {
        body += chunk;
      });
      request.on('end', () => respond(response, `${request.method} ${request.url} ${body}`));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    replica.port = (server.address() as AddressInfo).port;
  });

  afterAll(async () => {
    await engines.dispose();
    server.close();
    await once(server, 'close');
  });

  // Guards against an order of a lost lease holder that reaches an engine after its successor's.
  it('takes an order back that it gives up during a partition', async () => {
    const receivedRequests: string[] = [];
    respond = (response, body) => {
      receivedRequests.push(body.split(' ')[0]!);
      response.end(JSON.stringify(state));
    };
    const proxy = new TcpProxy(replica.port);
    const distant = { ...replica, port: await proxy.listen() };
    await engines.observe(distant);
    await flushTasks();
    proxy.setFault(LinkFault.Partitioned);
    const result = engines.order(distant, fencedOrder);
    await proxy.waitForKeptData();
    clock.advance(60_000);
    await expect(result).rejects.toThrow(EngineUnavailableError);
    await proxy.waitForClosedConnections(1);
    proxy.setFault(LinkFault.None);
    await engines.observe(distant);
    proxy.dispose();
    expect(receivedRequests).toEqual(['GET', 'GET']);
  });

  // Guards against a state without an end, which is kept until the request's timeout.
  it('ends a response that is larger than any state', async () => {
    respond = (response) => {
      const write = () => {
        if (!response.destroyed) {
          response.write(' '.repeat(16_384), () => setImmediate(write));
        }
      };
      write();
    };
    await expect(engines.observe(replica)).rejects.toThrow(EngineUnavailableError);
  });

  it('parses each documented response to an order', async () => {
    const receivedRequests: string[] = [];
    const responses: [number, object, Record<string, string>][] = [
      [200, { state }, {}],
      [409, { error: 'stale-fencing-number', highest: 9 }, {}],
      [429, {}, { 'retry-after': '2' }],
      [429, {}, {}],
      [400, {}, {}],
    ];
    respond = (response, body) => {
      receivedRequests.push(body);
      const [status, json, headers] = responses[receivedRequests.length - 1]!;
      response.writeHead(status, headers).end(JSON.stringify(json));
    };
    const outcomes = [];
    while (outcomes.length < responses.length) {
      // eslint-disable-next-line no-await-in-loop
      outcomes.push(await engines.order(replica, fencedOrder));
    }
    expect(receivedRequests[0]).toBe(`POST /admin/orders ${JSON.stringify(fencedOrder)}`);
    expect(outcomes).toEqual([
      { kind: 'accepted', state },
      { kind: 'stale', highest: 9 },
      { kind: 'rate-limited', retryAfter: 2_000 },
      { kind: 'rate-limited', retryAfter: undefined },
      { kind: 'refused', status: 400 },
    ]);
  });

  it('parses the state, and treats an invalid one as no response', async () => {
    respond = (response) => response.end(JSON.stringify(state));
    expect(await engines.observe(replica)).toEqual(state);
    respond = (response) => response.end('{}');
    await expect(engines.observe(replica)).rejects.toThrow(EngineUnavailableError);
  });

  /*
   * Guards against a timeout that covers only the response headers: an engine that stalled in the
   * middle of the body would block the rounds of its service.
   */
  it('times out a response that stalls in its body', async () => {
    const hasHeaders = new Promise((resolve) => {
      subscribe('undici:request:headers', resolve);
    });
    respond = (response) => response.writeHead(200).write('{"loaded":');
    const observation = engines.observe(replica);
    await hasHeaders;
    await flushTasks();
    clock.advance(2_000);
    await expect(observation).rejects.toThrow(EngineUnavailableError);
  });
});
