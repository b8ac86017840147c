import { request } from 'undici';
import { askWholeChat, createChat } from '../test/calls.js';
import { askChat, getMessages } from '../test/chat.js';
import { getDecisions, waitForDecision } from '../test/decisions.js';
import { API_KEY, Deployment, MODEL } from '../test/Deployment.js';
import type { Daemon } from '../test/Deployment.js';
import { FakeEngine, getFinishEvent, getTokenEvent } from '../test/FakeEngine.js';

const FAST = ['--step-base', '2', '--step-per-request', '0', '--prefill-per-token', '0'];

describe('integrity of answers', () => {
  const deployments: Deployment[] = [];
  const engines: FakeEngine[] = [];

  afterEach(async () => {
    engines.splice(0).forEach((engine) => engine.dispose());
    await Promise.all(deployments.splice(0).map((deployment) => deployment.dispose()));
  });

  async function start(engineCount: number) {
    const deployment = new Deployment();
    deployments.push(deployment);
    await deployment.prepare();
    await Promise.all(
      Array.from({ length: engineCount }, () => deployment.startBackend('engines', FAST)),
    );
    const daemon = await deployment.startStandaloneDaemon();
    return { deployment, daemon };
  }

  async function startFake(engine: FakeEngine): Promise<Daemon> {
    const deployment = new Deployment();
    deployments.push(deployment);
    engines.push(engine);
    await deployment.prepare();
    deployment.registerExternalBackend('engines', await engine.listen());
    return deployment.startStandaloneDaemon();
  }

  /** Returns the engine that runs the only request. */
  async function getRunningEngine({
    deployment,
    daemon,
  }: {
    deployment: Deployment;
    daemon: Daemon;
  }) {
    const { replica } = await waitForDecision(daemon.process.log, 'choose');
    return deployment.backends.find(({ id }) => id === replica)!;
  }

  // Guards against a draft that ends in mid-answer or repeats a sentence after its engine crashes.
  // The second attempt must resume at the right token, and a broken stream must not be taken for a
  // complete answer.
  it('resumes a streamed answer on another replica after the last delivered token when an engine crashes', async () => {
    const system = await start(2);
    const { chatRequest, expected } = createChat(system.daemon.port, 40);
    let crashed: Promise<void> | undefined;
    const onToken = (count: number) => {
      if (count === 10) {
        crashed = getRunningEngine(system).then((engine) => engine.injectFault({ kind: 'crash' }));
      }
    };
    const answer = await askChat({ ...chatRequest, onToken });
    await crashed?.catch(() => undefined);
    expect(answer).toMatchObject({ status: 200, whole: true, tokens: expected });
    const attempts = getDecisions(system.daemon.process.log, 'choose');
    expect(attempts).toHaveLength(2);
    expect(attempts[1]?.resumeAt).toBeGreaterThanOrEqual(10);
  });

  it('completes an answer without streaming on another replica when an engine crashes', async () => {
    const system = await start(2);
    const { chatRequest, expected } = createChat(system.daemon.port, 40);
    const answering = askWholeChat(chatRequest);
    const engine = await getRunningEngine(system);
    await engine.waitForRuns(([run]) => (run?.tokens ?? 0) >= 10);
    await engine.injectFault({ kind: 'crash' }).catch(() => undefined);
    const { status, body } = await answering;
    expect(status).toBe(200);
    expect(body.choices[0]?.message.content).toBe(expected.join(''));
    expect(getDecisions(system.daemon.process.log, 'choose')).toHaveLength(2);
  });

  // Guards against an off-by-one error in the resume position, which repeats or skips a token. The
  // connection breaks before the first token, in the middle, and between the last token and the
  // final chunk.
  it('neither repeats nor skips a token wherever the connection breaks', async () => {
    const { deployment, daemon } = await start(1);
    const [engine] = deployment.backends;
    const { chatRequest, expected } = createChat(daemon.port, 12);
    const cuts = [0, 1, 5, expected.length - 1, expected.length];
    for (const tokens of cuts) {
      // Sequential, since each fault belongs to one request.
      // eslint-disable-next-line no-await-in-loop
      await engine!.injectFault({ kind: 'drop-after', tokens, count: 1 });
      // eslint-disable-next-line no-await-in-loop
      const answer = await askChat(chatRequest);
      expect(answer).toMatchObject({ status: 200, whole: true, tokens: expected });
    }
    const runs = await engine!.getRuns();
    expect(runs).toHaveLength(2 * cuts.length);
    expect(runs.filter(({ startIndex }) => startIndex !== 0)).toHaveLength(cuts.length - 1);
  });

  // Guards against text of another request in a caller's answer. It appears if the daemon accepts
  // every event that arrives on the connection without checking its id.
  it('drops events of other answers', async () => {
    const engine = new FakeEngine((attemptId, response) => {
      const stray = getTokenEvent('another/1', 1, ' stray');
      const own = [
        getTokenEvent(attemptId, 0, 'own'),
        stray,
        getTokenEvent(attemptId, 1, ' words'),
      ];
      response.end(`${own.join('')}${getFinishEvent(attemptId)}data: [DONE]\n\n`);
    });
    const daemon = await startFake(engine);
    const { chatRequest } = createChat(daemon.port, 2);
    expect((await askChat(chatRequest)).tokens).toEqual(['own', ' words']);
    expect((await askWholeChat(chatRequest)).body.choices[0]?.message.content).toBe('own words');
    const dropped = getDecisions(daemon.process.log, 'relay').filter((line) => 'dropped' in line);
    expect(dropped).toHaveLength(2);
  });

  // Guards against a truncated answer that is marked as complete. Every engine closes its stream
  // cleanly before the end of the answer.
  it('never reports a truncated stream as complete', async () => {
    const engine = new FakeEngine((attemptId, response) => {
      response.end(getTokenEvent(attemptId, 0, 'half'));
    });
    const daemon = await startFake(engine);
    const { chatRequest } = createChat(daemon.port, 4);
    const streamed = await askChat(chatRequest);
    expect(streamed.whole).toBe(false);
    expect(streamed.tokens).toEqual(['half']);
    expect(streamed.problem).toMatchObject({ outcome: 'failed' });
    const { status, retryAfter, body } = await askWholeChat(chatRequest);
    expect(status).toBe(503);
    expect(Number(retryAfter)).toBeGreaterThan(0);
    expect(body.outcome).toBe('failed');
  });

  // Guards against unbounded memory growth for callers that read slowly, and against answers cut
  // off for them. The engine writes faster than the caller reads. The daemon must stop reading
  // meanwhile, and must not take its own pause for a silent engine.
  it('applies backpressure to the engine for a slow caller and loses no token', async () => {
    const count = 2000;
    const text = 'x'.repeat(16 * 1024);
    let written = 0;
    const engine = new FakeEngine((attemptId, response) => {
      const write = () => {
        while (written < count) {
          written += 1;
          if (!response.write(getTokenEvent(attemptId, written - 1, `${written} ${text}`))) {
            response.once('drain', write);
            return;
          }
        }
        response.end(`${getFinishEvent(attemptId)}data: [DONE]\n\n`);
      };
      write();
    });
    const daemon = await startFake(engine);
    const response = await request(`http://127.0.0.1:${daemon.port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${API_KEY}` },
      body: JSON.stringify({ model: MODEL, messages: getMessages('all'), stream: true }),
    });
    await waitForDecision(daemon.process.log, 'relay', ({ event }) => event === 'caller-slow');
    expect(written).toBeLessThan(count);
    const lines = (await response.body.text()).split('\n').filter((line) => line !== '');
    const numbers = lines.slice(0, count).map((line) => /"content":"(\d+) x/.exec(line)?.[1]);
    expect(numbers).toEqual(Array.from({ length: count }, (_, index) => String(index + 1)));
    expect(lines.at(-1)).toBe('data: [DONE]');
  });

  // Guards against answers that are mixed up or incomplete when many requests run at once while
  // engines drop connections, refuse requests and send events of other answers.
  it('keeps concurrent answers separate under faults', async () => {
    const { deployment, daemon } = await start(3);
    await Promise.all(
      deployment.backends.flatMap((engine, place) => [
        engine.injectFault({ kind: 'drop-after', tokens: 3 + place, count: 3 }),
        engine.injectFault({ kind: 'stray-answers', count: 5 }),
        engine.injectFault({ kind: 'refuse', count: 2 }),
      ]),
    );
    const chats = Array.from({ length: 40 }, (_, index) => createChat(daemon.port, 5 + index));
    const answers = await Promise.all(chats.map(({ chatRequest }) => askChat(chatRequest)));
    answers.forEach((answer, index) => {
      const { expected } = chats[index]!;
      expect(answer.tokens).toEqual(expected.slice(0, answer.tokens.length));
      expect(answer.whole || answer.problem !== undefined).toBe(true);
      expect(answer.whole).toBe(answer.tokens.length === expected.length);
    });
    expect(answers.filter(({ whole }) => whole).length).toBeGreaterThan(30);
  });
});
