import { RawCaller } from '@apricotrill/standins';
import type { ServerResponse } from 'node:http';
import { createChat } from '../test/calls.js';
import { askChat, getMessages } from '../test/chat.js';
import { API_KEY, Deployment, MODEL } from '../test/Deployment.js';
import type { Daemon } from '../test/Deployment.js';
import { FakeEngine, getFinishEvent, getTokenEvent } from '../test/FakeEngine.js';

const MAX_BODY = 100_000;
const LIMITS = { maxBodyBytes: MAX_BODY, bodyTimeoutMs: 1000, headersTimeoutMs: 1000 };

const CHAT = '/v1/chat/completions';
const AUTHORIZATION = `authorization: Bearer ${API_KEY}`;

/** Returns the request line and headers of a request. */
function getHead(method: string, path: string, ...headers: string[]): string {
  return `${[`${method} ${path} HTTP/1.1`, 'host: daemon', ...headers].join('\r\n')}\r\n\r\n`;
}

function getRequest(path: string, body: string, ...headers: string[]): string {
  return `${getHead('POST', path, `content-length: ${Buffer.byteLength(body)}`, ...headers)}${body}`;
}

const getChunk = (size: number) => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;

const CHAT_BODY = { model: MODEL, messages: getMessages('all') };

const getChatRequest = (change: object) =>
  getRequest(CHAT, JSON.stringify({ ...CHAT_BODY, ...change }), AUTHORIZATION);

/** Test title, bytes that the caller sends, expected status and expected reason. */
const CASES: [string, string, number, string][] = [
  [
    'a body whose declared length is too large',
    getHead('POST', CHAT, AUTHORIZATION, 'content-length: 100001'),
    413,
    'too-large',
  ],
  [
    'a chunked body that is too large',
    `${getHead('POST', CHAT, AUTHORIZATION, 'transfer-encoding: chunked')}${getChunk(60_000)}${getChunk(60_000)}`,
    413,
    'too-large',
  ],
  [
    'an incomplete body',
    `${getHead('POST', CHAT, AUTHORIZATION, 'content-length: 100')}{"model"`,
    408,
    'slow-body',
  ],
  ['incomplete headers', `POST ${CHAT} HTTP/1.1\r\nhost: d`, 408, 'slow-body'],
  [
    'headers that are too large',
    getHead('GET', '/', `x-large: ${'x'.repeat(20_000)}`),
    431,
    'too-large',
  ],
  ['bytes that are not HTTP', 'Good morning!\r\n\r\n', 400, 'malformed'],
  ['a TLS handshake', '\u0016\u0003\u0001\u0002\u0000\u0001\u0000\u0001', 400, 'malformed'],
  [
    'a body with both a content length and chunked encoding',
    `${getHead('POST', CHAT, AUTHORIZATION, 'content-length: 5', 'transfer-encoding: chunked')}0\r\n\r\n`,
    400,
    'malformed',
  ],
  ['a body that is not JSON', getRequest(CHAT, '{"model":', AUTHORIZATION), 400, 'malformed'],
  ['a body that is not an object', getRequest(CHAT, '[]', AUTHORIZATION), 400, 'malformed'],
  [
    'deeply nested brackets',
    getRequest(
      CHAT,
      `{"model":"${MODEL}","messages":[{"role":"user","content":${'['.repeat(40_000)}${']'.repeat(40_000)}}]}`,
      AUTHORIZATION,
    ),
    400,
    'malformed',
  ],
  ['messages that are not a list', getChatRequest({ messages: 'all' }), 400, 'malformed'],
  ['an invalid token limit', getChatRequest({ max_completion_tokens: '7' }), 400, 'malformed'],
  ['a request for two answers', getChatRequest({ n: 2 }), 400, 'malformed'],
  ['a wrong API key', getRequest(CHAT, '{}', 'authorization: Bearer wrong'), 401, 'wrong-key'],
  ['no API key', getRequest(CHAT, '{}'), 401, 'wrong-key'],
  ['an unknown model', getChatRequest({ model: 'unknown' }), 404, 'unknown-model'],
  [
    'an unknown service',
    getHead('GET', '/services/unknown/x', AUTHORIZATION),
    404,
    'unknown-service',
  ],
  ['an unknown path', getHead('GET', '/v2/chat', AUTHORIZATION), 404, 'unknown-service'],
  [
    'an absolute URL as path',
    getHead('GET', 'http://daemon/services/portal', AUTHORIZATION),
    404,
    'unknown-service',
  ],
  ['no path', getHead('OPTIONS', '*', AUTHORIZATION), 404, 'unknown-service'],
  [
    'a hold without an idempotency key',
    getRequest('/services/portal/holds', '{}', AUTHORIZATION),
    400,
    'idempotency-key-missing',
  ],
  [
    'a hold whose idempotency key is too long',
    getRequest(
      '/services/portal/holds',
      '{}',
      AUTHORIZATION,
      `idempotency-key: ${'k'.repeat(300)}`,
    ),
    400,
    'idempotency-key-missing',
  ],
];

// Guards against a caller's invalid input that crashes or blocks the daemon or corrupts another
// caller's answer. Each input arrives while a valid answer is being streamed.
describe('invalid input while a valid answer is being streamed', () => {
  const deployment = new Deployment();
  const callers: RawCaller[] = [];
  let running: { attemptId: string; response: ServerResponse };
  let onRunning = () => {};
  const engine = new FakeEngine((attemptId, response) => {
    running = { attemptId, response };
    onRunning();
  });
  let daemon: Daemon;
  let validAnswer: ReturnType<typeof askChat>;
  let tokens = 0;

  beforeAll(async () => {
    await deployment.prepare();
    deployment.registerExternalBackend('engines', await engine.listen());
    await deployment.startBackend('portal');
    daemon = await deployment.startStandaloneDaemon(LIMITS);
    const started = new Promise<void>((resolve) => {
      onRunning = resolve;
    });
    validAnswer = askChat(createChat(daemon.port, 10, 1000).chatRequest);
    await started;
  });

  afterEach(() => {
    callers.splice(0).forEach(({ socket }) => socket.destroy());
    running.response.write(getTokenEvent(running.attemptId, tokens, `token ${tokens}`));
    tokens += 1;
  });

  afterAll(async () => {
    engine.dispose();
    await deployment.dispose();
  });

  function call(bytes: string | Buffer): RawCaller {
    const caller = new RawCaller(daemon.port).send(bytes);
    callers.push(caller);
    return caller;
  }

  it.each(CASES)('refuses %s', async (_title, bytes, status, reason) => {
    const caller = call(Buffer.from(bytes, 'latin1'));
    expect(await caller.getStatus()).toBe(status);
    const type = `urn:apricotrill:problem:${reason}`;
    expect(await caller.getProblem()).toMatchObject({ type, outcome: 'not-run' });
  });

  it('refuses a body that ends early', async () => {
    const caller = call(`${getHead('POST', CHAT, AUTHORIZATION, 'content-length: 100')}{"model"`);
    caller.socket.end();
    expect(await caller.getStatus()).toBe(400);
  });

  it.each(['/services/portal/%zz', '/services/portal/a%2', '/services/portal/%00%ff'])(
    'survives the path %s',
    async (path) => {
      expect(await call(getHead('GET', path, AUTHORIZATION)).getStatus()).toBeLessThan(500);
    },
  );

  // Guards against a connection reset in place of the 413 response. The caller keeps sending after
  // the daemon has answered. Closing a connection with unread bytes resets it, and the reset can
  // overtake the response.
  it('reads the rest of a refused upload and keeps the connection', async () => {
    const body = 'x'.repeat(8 * 1024 * 1024);
    const caller = call(getRequest(CHAT, body, AUTHORIZATION)).send(
      getHead('GET', '/v1/models', AUTHORIZATION),
    );
    expect(await caller.getStatus()).toBe(413);
    expect(await caller.waitFor(MODEL)).toContain(MODEL);
  });

  it('closes the connection of an upload that never ends', async () => {
    const caller = call(getHead('POST', CHAT, AUTHORIZATION, 'transfer-encoding: chunked'));
    caller.sendUntilClosed(Buffer.from(getChunk(30_000)));
    expect(await caller.getStatus()).toBe(413);
    await caller.closed;
  });

  // Guards against `HTTP/1.1 400` in the middle of an answer, and against a hold that runs but is
  // reported as not run. The caller sends a wrong content length, and the remaining bytes arrive as
  // a second request. The error response to them must not be written into the first response.
  it('does not mix an answer with the bytes that follow its request', async () => {
    const hold = getRequest('/services/portal/artwork/7', '{}', AUTHORIZATION);
    const caller = call(`${hold.replace('POST', 'GET')} and more\r\n\r\n`);
    expect(await caller.waitFor('"run"')).toMatch(/^HTTP\/1\.1 200 OK/);
    expect(caller.received).not.toContain('HTTP/1.1 400');
  });

  it('has not affected the valid answer or the daemon', async () => {
    const { attemptId, response } = running;
    response.end(`${getFinishEvent(attemptId)}data: [DONE]\n\n`);
    const answer = await validAnswer;
    expect(answer.whole).toBe(true);
    expect(answer.tokens).toEqual(Array.from({ length: tokens }, (_, index) => `token ${index}`));
    expect(daemon.process.child.exitCode).toBeNull();
  });
});
