import { createServer } from 'node:http';
import { subscribe } from 'node:diagnostics_channel';
import { once } from 'node:events';
import { ManualClock } from '@apricotrill/utils';
import type { AddressInfo } from 'node:net';
import type { Server, ServerResponse } from 'node:http';
import { flushTasks } from '@apricotrill/standins';
import { createConfiguration } from '../../test/PlacementHarness.js';
import { EngineUnavailableError } from '../EngineClient/EngineClient.js';
import { HttpEngineClient } from '../HttpEngineClient/HttpEngineClient.js';

const state = { loaded: ['a@1'], loading: [], role: 'mixed', highestFencingNumber: 3 };
const order = { kind: 'load' as const, model: 'a', version: '1' };
const numbered = { fencingNumber: 3, orderId: 'chat/3/1', order };

describe('HttpEngineOrders', () => {
  let server: Server;
  let answer: (response: ServerResponse, body: string) => void;
  const clock = new ManualClock();
  const engines = new HttpEngineClient(clock);
  const replica = createConfiguration({ 'chat-1': [] }).register.replicas[0]!;

  beforeAll(async () => {
    server = createServer((request, response) => {
      let body = '';
      request.on('data', (chunk) => {
        body += chunk;
      });
      request.on('end', () => answer(response, `${request.method} ${request.url} ${body}`));
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

  it('reads each documented answer to an order', async () => {
    const seen: string[] = [];
    const answers: [number, object, Record<string, string>][] = [
      [200, { state }, {}],
      [409, { error: 'stale-fencing-number', highest: 9 }, {}],
      [429, {}, { 'retry-after': '2' }],
      [429, {}, {}],
      [400, {}, {}],
    ];
    answer = (response, body) => {
      seen.push(body);
      const [status, json, headers] = answers[seen.length - 1]!;
      response.writeHead(status, headers).end(JSON.stringify(json));
    };
    const outcomes = [];
    while (outcomes.length < answers.length) {
      // eslint-disable-next-line no-await-in-loop
      outcomes.push(await engines.order(replica, numbered));
    }
    expect(seen[0]).toBe(`POST /admin/orders ${JSON.stringify(numbered)}`);
    expect(outcomes).toEqual([
      { kind: 'accepted', state },
      { kind: 'stale', highest: 9 },
      { kind: 'rate-limited', retryAfter: 2_000 },
      { kind: 'rate-limited', retryAfter: undefined },
      { kind: 'refused', status: 400 },
    ]);
  });

  it('reads the state, and takes an unreadable one for no answer', async () => {
    answer = (response) => response.end(JSON.stringify(state));
    expect(await engines.observe(replica)).toEqual(state);
    answer = (response) => response.end('{}');
    await expect(engines.observe(replica)).rejects.toThrow(EngineUnavailableError);
  });

  /*
   * Symptom: the rounds of a service stand still.
   * Sequence: an engine accepts the connection, sends half an answer and then nothing.
   * Cause: the timeout covered the headers and not the body.
   */
  it('gives up an answer that stalls half way', async () => {
    const hasHeaders = new Promise((resolve) => {
      subscribe('undici:request:headers', resolve);
    });
    answer = (response) => response.writeHead(200).write('{"loaded":');
    const look = engines.observe(replica);
    await hasHeaders;
    await flushTasks();
    clock.advance(2_000);
    await expect(look).rejects.toThrow(EngineUnavailableError);
  });
});
