import { once } from 'node:events';
import { Agent, get } from 'node:http';
import { ManualClock } from '@apricotrill/utils';
import { waitUntil } from '../../test/waitUntil.js';
import { createEngineStandin } from './EngineStandin.js';
import type { EngineStandinSettings } from './EngineStandinOptions.js';
import { getExpectedTokens } from './getExpectedTokens.js';

const disposals: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(disposals.splice(0).map((dispose) => dispose()));
});

const MODEL = 'kielimalli';

const MAX_TOKENS_OF_LONG_ANSWER = 100_000;

/** The parts of response bodies that these tests check. */
interface ParsedBody {
  choices: { message: { content: string } }[];
  runs: object[];
  events: object[];
  state: { loading: string[] };
}

function getMessages(topic: string) {
  return [{ role: 'user', content: `a question about ${topic}` }];
}

/** Parses a response body, whose parts the test then checks. */
async function readJson(answer: Response): Promise<ParsedBody> {
  return (await answer.json()) as ParsedBody;
}

/** Reads the tokens of a stream by SSE id, and its last two events. */
async function readStream(answer: Response) {
  const events = (await answer.text()).split('\n\n').filter((event) => event !== '');
  const tokens = new Map<number, string>();
  events.forEach((event) => {
    const [, id, data] = /^(?:id: (\d+)\n)?data: (.*)$/.exec(event)!;
    if (id !== undefined) {
      tokens.set(Number(id), JSON.parse(data!).choices[0].delta.content);
    }
  });
  return { tokens, last: events.at(-1), finish: events.at(-2) };
}

async function setUp(settings: EngineStandinSettings = {}) {
  const pace = { stepBase: 1, stepPerRequest: 0, prefillPerToken: 0, loadLag: 0 };
  const engine = createEngineStandin({ ...pace, ...settings });
  disposals.push(() => engine.dispose());
  const { host, port } = await engine.listen();
  const url = `http://${host}:${port}`;
  const ask = (topic: string, body: object = {}, init: RequestInit = {}) =>
    fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: MODEL, messages: getMessages(topic), max_tokens: 40, ...body }),
      ...init,
    });
  const read = async (path: string) => readJson(await fetch(`${url}${path}`));
  return { engine, url, ask, read };
}

describe('EngineStandin', () => {
  it('returns the expected tokens in whole, streamed and resumed responses', async () => {
    const { ask, read } = await setUp();
    const expected = getExpectedTokens(MODEL, getMessages('ink'), 40);
    const whole = await readJson(await ask('ink'));
    expect(whole.choices[0]!.message.content).toBe(expected.join(''));
    const headers = { 'x-request-id': 'r-1/2' };
    const streamed = await ask('ink', { stream: true }, { headers });
    expect(streamed.headers.get('x-request-id')).toBe('r-1/2');
    expect(streamed.headers.get('x-load')).toMatch(/^running=\d+,waiting=\d+,slots=16,measured-at/);
    const { tokens, last, finish } = await readStream(streamed);
    expect([...tokens.values()]).toEqual(expected);
    expect(last).toBe('data: [DONE]');
    expect(finish).toMatch(/"id":"r-1\/2".*"finish_reason":"(stop|length)".*"usage"/);
    const resumed = await ask('ink', { stream: true }, { headers: { 'last-event-id': '0' } });
    const { tokens: rest } = await readStream(resumed);
    expect([...rest.keys()][0]).toBe(1);
    expect([...rest.values()]).toEqual(expected.slice(1));
    const lastIndex = String(expected.length - 1);
    const ended = await ask('ink', { stream: true }, { headers: { 'last-event-id': lastIndex } });
    expect(await readStream(ended)).toMatchObject({ tokens: new Map(), last: 'data: [DONE]' });
    const { runs } = await read('/runs');
    expect(runs[1]).toMatchObject({ requestId: 'r-1/2', tokens: expected.length, completed: true });
  });

  it('gives each question a different answer of unpredictable length', () => {
    const topics = Array.from({ length: 20 }, (_, index) => `topic ${index}`);
    const lengths = topics.map(
      (topic) => getExpectedTokens(MODEL, getMessages(topic), 1_000).length,
    );
    expect(new Set(lengths).size).toBeGreaterThan(10);
    const [ink, paper] = ['ink', 'paper'].map((topic) =>
      getExpectedTokens(MODEL, getMessages(topic), 500),
    );
    expect(ink!.filter((token) => paper!.includes(token))).toEqual([]);
  });

  it('frees the slot of a caller that disconnects', async () => {
    // Guards against an engine that computes answers nobody reads: a caller disconnects in the
    // middle of its stream, and the closed connection does not cancel the request.
    const { engine, ask } = await setUp({ slots: 1 });
    const abort = new AbortController();
    const init = { signal: abort.signal };
    const left = await ask('ink', { stream: true, max_tokens: MAX_TOKENS_OF_LONG_ANSWER }, init);
    expect(left.status).toBe(200);
    const next = ask('paper');
    abort.abort();
    expect((await next).status).toBe(200);
    expect(engine.getRuns().map(({ completed }) => completed)).toEqual([false, true]);
  });

  it('does not run the requests that it refuses', async () => {
    const { engine, ask, read } = await setUp({ slots: 1, maxWaiting: 0 });
    const expectRefusal = async (status: number, leaving: string | null) => {
      const answer = await ask('ink');
      const headers = ['x-outcome', 'retry-after', 'x-leaving'].map((name) =>
        answer.headers.get(name),
      );
      expect([answer.status, ...headers]).toEqual([status, 'not-run', '1', leaving]);
    };
    engine.faults.apply({ kind: 'refuse', count: 1 });
    await expectRefusal(503, null);
    engine.faults.apply({ kind: 'leave' });
    await expectRefusal(503, 'true');
    expect(await read('/load')).toMatchObject({ leaving: true, running: 0, slots: 1 });
    engine.faults.apply({ kind: 'stay' });
    expect(engine.getRuns()).toEqual([]);
    const busy = await ask('paper', { stream: true, max_tokens: MAX_TOKENS_OF_LONG_ANSWER });
    await expectRefusal(429, null);
    expect(engine.getRuns()).toHaveLength(1);
    await busy.body!.cancel();
  });

  it('refuses a request for a model that is not loaded if requiresLoaded is set', async () => {
    const { engine, ask } = await setUp({ requiresLoaded: true, loaded: [`${MODEL}@4`] });
    expect((await ask('ink')).status).toBe(200);
    expect((await ask('ink', { model: `${MODEL}@4` })).status).toBe(200);
    const refusal = await ask('ink', { model: `${MODEL}@5` });
    expect([refusal.status, refusal.headers.get('x-outcome')]).toEqual([503, 'not-run']);
    expect(engine.getRuns()).toHaveLength(2);
  });

  it('refuses a malformed request with a reason', async () => {
    const { ask, url } = await setUp();
    const init = { method: 'POST', body: '{"model"' };
    expect((await fetch(`${url}/v1/chat/completions`, init)).status).toBe(400);
    expect((await ask('ink', { messages: [{ role: 'user' }] })).status).toBe(400);
    expect((await ask('ink', { max_tokens: -1 })).status).toBe(400);
    expect((await ask('ink', {}, { headers: { 'last-event-id': 'x' } })).status).toBe(400);
  });

  it('injects broken connections, stray answers and stalls', async () => {
    const { engine, ask, read } = await setUp();
    engine.faults.apply({ kind: 'drop-after', tokens: 0, count: 1 });
    await expect(ask('ink', { stream: true }).then(readStream)).rejects.toThrow('terminated');
    expect(engine.getRuns()).toMatchObject([{ tokens: 0, completed: false }]);
    engine.faults.apply({ kind: 'stray-answers', count: 1 });
    expect(await (await ask('ink', { stream: true })).text()).toMatch(/"id":"stray\/0"/);
    engine.faults.apply({ kind: 'stall' });
    let hasHead = false;
    const stalled = ask('ink', { stream: true }).finally(() => {
      hasHead = true;
    });
    const reads = await Promise.all(Array.from({ length: 5 }, () => read('/runs')));
    expect(reads[4]!.runs).toHaveLength(2);
    expect((await read('/runs')).runs).toHaveLength(2);
    expect(hasHead).toBe(false);
    engine.faults.apply({ kind: 'unstall' });
    expect((await stalled).status).toBe(200);
  });

  it('goes silent on open connections and serves new ones', async () => {
    const { engine, url } = await setUp();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const getLoad = () => get(`${url}/load`, { agent });
    await once(getLoad(), 'response').then(([answer]) => once(answer.resume(), 'end'));
    await waitUntil(() => Object.keys(agent.freeSockets).length === 1);
    engine.faults.apply({ kind: 'silence-connections' });
    const silent = getLoad();
    const ended = once(silent, 'response').catch((error) => error.message);
    const fresh = await fetch(`${url}/load`, { headers: { connection: 'close' } });
    expect(fresh.status).toBe(200);
    expect(silent.reusedSocket).toBe(true);
    silent.destroy(new Error('given up'));
    expect(await ended).toBe('given up');
    agent.destroy();
  });

  it('sends nothing more of a response once its connection is silenced', async () => {
    const clock = new ManualClock();
    const { engine, ask } = await setUp({ clock });
    const stream = await ask('ink', { stream: true });
    engine.faults.apply({ kind: 'silence-connections' });
    clock.advance(1_000);
    expect(engine.getRuns()).toMatchObject([{ completed: true }]);
    const text = stream.text();
    await engine.dispose();
    await expect(text).rejects.toThrow('terminated');
  });

  it('publishes cache events and handles orders over HTTP', async () => {
    const { ask, read, url } = await setUp({ cacheEventLag: 0, cacheEventLoss: 0, blockTokens: 2 });
    await (await ask('ink')).text();
    const { events } = await read('/cache-events?after=1');
    expect(events[0]).toMatchObject({ sequence: 2, kind: 'stored' });
    const order = { kind: 'load', model: 'm', adapter: 'quotes', version: '2' };
    const body = JSON.stringify({ fencingNumber: 3, orderId: 'o-1', order });
    const answer = await fetch(`${url}/admin/orders`, { method: 'POST', body });
    expect((await readJson(answer)).state.loading).toEqual(['m:quotes@2']);
    expect(await read('/admin/state')).toMatchObject({ highestFencingNumber: 3, role: 'mixed' });
  });

  it('breaks every connection in a crash', async () => {
    const { engine, ask } = await setUp();
    const answer = await ask('ink', { stream: true, max_tokens: MAX_TOKENS_OF_LONG_ANSWER });
    engine.faults.apply({ kind: 'crash' });
    await expect(answer.text()).rejects.toThrow('terminated');
    await waitUntil(() => engine.getRuns().length > 0);
    await expect(ask('paper')).rejects.toThrow('fetch failed');
  });
});
