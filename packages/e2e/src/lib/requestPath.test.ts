import { getExpectedTokens } from '@apricotrill/standins';
import { request } from 'undici';
import { askChat, getMessages } from '../test/chat.js';
import { API_KEY, Deployment, MODEL } from '../test/Deployment.js';
import type { Daemon } from '../test/Deployment.js';

describe('the path of a request through separate processes', () => {
  const deployment = new Deployment();
  let daemon: Daemon;

  beforeAll(async () => {
    await deployment.prepare();
    await deployment.startBackend('engines');
    await deployment.startBackend('engines');
    await deployment.startBackend('portal');
    daemon = await deployment.startStandaloneDaemon();
  });

  afterAll(() => deployment.dispose());

  it('streams a complete chat answer in order', async () => {
    const prompt = 'Quote 500 posters on matte paper.';
    const chatRequest = { port: daemon.port, apiKey: API_KEY, model: MODEL, prompt, maxTokens: 40 };
    const answer = await askChat(chatRequest);
    expect(answer.status).toBe(200);
    expect(answer.whole).toBe(true);
    expect(answer.tokens).toEqual(getExpectedTokens(MODEL, getMessages(prompt), 40));
  });

  it('returns the same answer without streaming', async () => {
    const messages = getMessages('Which ink for vinyl?');
    const response = await request(`http://127.0.0.1:${daemon.port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${API_KEY}` },
      body: JSON.stringify({ model: MODEL, messages, max_tokens: 20 }),
    });
    const body = (await response.body.json()) as { choices: { message: { content: string } }[] };
    const expected = getExpectedTokens(MODEL, messages, 20).join('');
    expect(body.choices[0]?.message.content).toBe(expected);
  });

  it('reaches a plain service by its path', async () => {
    const url = `http://127.0.0.1:${daemon.port}/services/portal/artwork/17?full=1`;
    const response = await request(url, { headers: { authorization: `Bearer ${API_KEY}` } });
    const body = await response.body.json();
    expect(response.statusCode).toBe(200);
    expect(body).toMatchObject({ method: 'GET', path: '/artwork/17?full=1' });
  });

  it.each([
    ['a wrong API key', { key: 'wrong', body: '{}' }, 401, 'wrong-key'],
    ['a malformed body', { key: API_KEY, body: '{"model":' }, 400, 'malformed'],
    [
      'an unknown model',
      { key: API_KEY, body: '{"model":"x","messages":[{"role":"user","content":"a"}]}' },
      404,
      'unknown-model',
    ],
  ])('refuses %s with a typed problem', async (_title, { key, body }, status, reason) => {
    const response = await request(`http://127.0.0.1:${daemon.port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}` },
      body,
    });
    expect(response.statusCode).toBe(status);
    expect(response.headers['content-type']).toBe('application/problem+json');
    expect(await response.body.json()).toMatchObject({
      type: `urn:apricotrill:problem:${reason}`,
      outcome: 'not-run',
    });
  });
});
