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
const KEY = `authorization: Bearer ${API_KEY}`;

/** The head of a request, with its framing. */
function getHead(method: string, path: string, ...headers: string[]): string {
  return `${[`${method} ${path} HTTP/1.1`, 'host: daemon', ...headers].join('\r\n')}\r\n\r\n`;
}

function getRequest(path: string, body: string, ...headers: string[]): string {
  return `${getHead('POST', path, `content-length: ${Buffer.byteLength(body)}`, ...headers)}${body}`;
}

const getChunk = (size: number) => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;

const ASK = { model: MODEL, messages: getMessages('all') };

const askWith = (change: object) => getRequest(CHAT, JSON.stringify({ ...ASK, ...change }), KEY);

/** What callers send, the status they get, and the reason. */
const CASES: [string, string, number, string][] = [
  [
    'a body that says it is too large',
    getHead('POST', CHAT, KEY, 'content-length: 100001'),
    413,
    'too-large',
  ],
  [
    'a body that turns out to be too large',
    `${getHead('POST', CHAT, KEY, 'transfer-encoding: chunked')}${getChunk(60_000)}${getChunk(60_000)}`,
    413,
    'too-large',
  ],
  [
    'a body that stops',
    `${getHead('POST', CHAT, KEY, 'content-length: 100')}{"model"`,
    408,
    'slow-body',
  ],
  ['a head that stops', `POST ${CHAT} HTTP/1.1\r\nhost: d`, 408, 'slow-body'],
  [
    'a head that is too large',
    getHead('GET', '/', `x-large: ${'x'.repeat(20_000)}`),
    431,
    'too-large',
  ],
  ['bytes that are not HTTP', 'Good morning!\r\n\r\n', 400, 'malformed'],
  ['the start of TLS', '\u0016\u0003\u0001\u0002\u0000\u0001\u0000\u0001', 400, 'malformed'],
  [
    'two lengths of one body',
    `${getHead('POST', CHAT, KEY, 'content-length: 5', 'transfer-encoding: chunked')}0\r\n\r\n`,
    400,
    'malformed',
  ],
  ['a body that is not JSON', getRequest(CHAT, '{"model":', KEY), 400, 'malformed'],
  ['a body that is no object', getRequest(CHAT, '[]', KEY), 400, 'malformed'],
  [
    'brackets in brackets',
    getRequest(
      CHAT,
      `{"model":"${MODEL}","messages":[{"role":"user","content":${'['.repeat(40_000)}${']'.repeat(40_000)}}]}`,
      KEY,
    ),
    400,
    'malformed',
  ],
  ['messages that are none', askWith({ messages: 'all' }), 400, 'malformed'],
  ['a wrong limit', askWith({ max_completion_tokens: '7' }), 400, 'malformed'],
  ['a wish for two answers', askWith({ n: 2 }), 400, 'malformed'],
  ['a wrong key', getRequest(CHAT, '{}', 'authorization: Bearer wrong'), 401, 'wrong-key'],
  ['no key', getRequest(CHAT, '{}'), 401, 'wrong-key'],
  ['an unknown model', askWith({ model: 'unknown' }), 404, 'unknown-model'],
  ['an unknown service', getHead('GET', '/services/unknown/x', KEY), 404, 'unknown-service'],
  ['an unknown path', getHead('GET', '/v2/chat', KEY), 404, 'unknown-service'],
  [
    'a whole URL as path',
    getHead('GET', 'http://daemon/services/portal', KEY),
    404,
    'unknown-service',
  ],
  ['no path', getHead('OPTIONS', '*', KEY), 404, 'unknown-service'],
  [
    'a hold without a key',
    getRequest('/services/portal/holds', '{}', KEY),
    400,
    'idempotency-key-missing',
  ],
  [
    'a hold with too long a key',
    getRequest('/services/portal/holds', '{}', KEY, `idempotency-key: ${'k'.repeat(300)}`),
    400,
    'idempotency-key-missing',
  ],
];

// Symptom: one caller's mistake takes the daemon down, hangs, or spoils another one's answer.
// Sequence: each of these arrives while somebody else's answer is on its way. Cause: input taken
// for what it says it is.
describe('input of all kinds, while a healthy answer is on its way', () => {
  const deployment = new Deployment();
  const callers: RawCaller[] = [];
  let running: { attemptId: string; response: ServerResponse };
  let onRunning = () => {};
  const engine = new FakeEngine((attemptId, response) => {
    running = { attemptId, response };
    onRunning();
  });
  let daemon: Daemon;
  let healthy: ReturnType<typeof askChat>;
  let tokens = 0;

  beforeAll(async () => {
    await deployment.prepare();
    deployment.registerExternalBackend('engines', await engine.listen());
    await deployment.startBackend('portal');
    daemon = await deployment.startStandaloneDaemon(LIMITS);
    const started = new Promise<void>((resolve) => {
      onRunning = resolve;
    });
    healthy = askChat(createChat(daemon.port, 10, 1000).chatRequest);
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

  it.each(CASES)('refuses %s', async (_what, bytes, status, reason) => {
    const caller = call(Buffer.from(bytes, 'latin1'));
    expect(await caller.getStatus()).toBe(status);
    const type = `urn:apricotrill:problem:${reason}`;
    expect(await caller.getProblem()).toMatchObject({ type, outcome: 'not-run' });
  });

  it('refuses a body that is cut off', async () => {
    const caller = call(`${getHead('POST', CHAT, KEY, 'content-length: 100')}{"model"`);
    caller.socket.end();
    expect(await caller.getStatus()).toBe(400);
  });

  it.each(['/services/portal/%zz', '/services/portal/a%2', '/services/portal/%00%ff'])(
    'survives the path %s',
    async (path) => {
      expect(await call(getHead('GET', path, KEY)).getStatus()).toBeLessThan(500);
    },
  );

  // Symptom: a caller sees its connection reset in place of the 413. Sequence: it goes on sending
  // after the daemon has answered and closed. Cause: closing with unread bytes resets the
  // connection, and the reset overtakes the answer.
  it('lets an upload end that goes on after its refusal, and keeps the connection', async () => {
    const body = 'x'.repeat(8 * 1024 * 1024);
    const caller = call(getRequest(CHAT, body, KEY)).send(getHead('GET', '/v1/models', KEY));
    expect(await caller.getStatus()).toBe(413);
    expect(await caller.waitFor(MODEL)).toContain(MODEL);
  });

  it('cuts an upload off that never ends', async () => {
    const caller = call(getHead('POST', CHAT, KEY, 'transfer-encoding: chunked'));
    caller.sendUntilClosed(Buffer.from(getChunk(30_000)));
    expect(await caller.getStatus()).toBe(413);
    await caller.closed;
  });

  // Symptom: an answer with `HTTP/1.1 400` in its middle, or a hold that runs and is said not to
  // have run. Sequence: a caller counts its body's length wrong, and the rest arrives as a second
  // request. Cause: the refusal of the rest written where the first one's answer belongs.
  it('keeps an answer clean of what follows its request', async () => {
    const hold = getRequest('/services/portal/artwork/7', '{}', KEY);
    const caller = call(`${hold.replace('POST', 'GET')} and more\r\n\r\n`);
    expect(await caller.waitFor('"run"')).toMatch(/^HTTP\/1\.1 200 OK/);
    expect(caller.received).not.toContain('400');
  });

  it('has left the healthy answer and the daemon alone', async () => {
    const { attemptId, response } = running;
    response.end(`${getFinishEvent(attemptId)}data: [DONE]\n\n`);
    const answer = await healthy;
    expect(answer.whole).toBe(true);
    expect(answer.tokens).toEqual(Array.from({ length: tokens }, (_, index) => `token ${index}`));
    expect(daemon.process.child.exitCode).toBeNull();
  });
});
