import { waitForService } from '../test/admin.js';
import type { Backend } from '../test/Backend.js';
import { createChat } from '../test/calls.js';
import { askChat } from '../test/chat.js';
import { getDecisions, waitForDecision } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import type { Daemon } from '../test/Deployment.js';
import { FakeEngine, getFinishEvent, getTokenEvent } from '../test/FakeEngine.js';

const FAST = ['--step-base', '2', '--step-per-request', '0', '--prefill-per-token', '0'];

describe('a replica that drains and returns', () => {
  let deployment: Deployment;
  let daemon: Daemon;
  const engines: FakeEngine[] = [];

  beforeEach(async () => {
    deployment = new Deployment();
    await deployment.prepare();
    await deployment.startBackend('engines', FAST);
    await deployment.startBackend('engines', FAST);
  });

  afterEach(async () => {
    engines.splice(0).forEach((engine) => engine.dispose());
    await deployment.dispose();
  });

  const waitUntilLeaving = (engine: Backend) =>
    waitForService(daemon, 'engines', ({ replicas }) =>
      replicas.some(({ id, leaving }) => id === engine.id && leaving),
    );

  const countDispatches = ({ id }: Backend) =>
    getDecisions(daemon.process.log, 'choose').filter(({ replica }) => replica === id).length;

  /** Requests short answers one after another until the engine has run one. */
  async function sendUntilRun(engine: Backend, runCount: number): Promise<void> {
    const { chatRequest, expected } = createChat(daemon.port, 3);
    expect((await askChat(chatRequest)).tokens).toEqual(expected);
    if ((await engine.getRuns()).length === runCount) {
      await sendUntilRun(engine, runCount);
    }
  }

  // Guards against new work for an engine that shuts down, and against cutting off the answers that
  // it still produces. The engine reports that it is leaving during an answer, while more requests
  // arrive. The instance list lags, and a leaving engine is not yet gone.
  it('gets no new work, finishes its answers, and gets work again when it returns', async () => {
    daemon = await deployment.startStandaloneDaemon();
    const long = createChat(daemon.port, 1500);
    let leavingEngine: Backend | undefined;
    let noticed: Promise<unknown> | undefined;
    const onToken = (count: number) => {
      if (count === 10) {
        const { replica } = getDecisions(daemon.process.log, 'choose')[0]!;
        leavingEngine = deployment.backends.find(({ id }) => id === replica)!;
        noticed = leavingEngine
          .injectFault({ kind: 'leave' })
          .then(() => waitUntilLeaving(leavingEngine!));
      }
    };
    const answering = askChat({ ...long.chatRequest, onToken });
    await waitForDecision(daemon.process.log, 'choose');
    while (noticed === undefined) {
      // eslint-disable-next-line no-await-in-loop
      await waitForService(daemon, 'engines', () => true);
    }
    await noticed;
    const before = countDispatches(leavingEngine!);
    const { chatRequest, expected } = createChat(daemon.port, 3);
    const answers = await Promise.all(Array.from({ length: 8 }, () => askChat(chatRequest)));
    answers.forEach(({ tokens }) => expect(tokens).toEqual(expected));
    expect(countDispatches(leavingEngine!)).toBe(before);
    expect((await answering).tokens).toEqual(long.expected);
    const runs = await leavingEngine!.getRuns();
    expect(runs.map(({ completed }) => completed)).toEqual([true]);
    await leavingEngine!.injectFault({ kind: 'stay' });
    await sendUntilRun(leavingEngine!, 1);
  });

  // Guards against an engine that never gets work again after it cancels its shutdown. It refuses
  // one request because it is leaving, and accepts work again before its load is queried. The
  // daemon never saw a load report of a leaving engine.
  it('gets work again if only a refusal showed that it was leaving', async () => {
    let requestCount = 0;
    const engine = new FakeEngine((attemptId, response) => {
      requestCount += 1;
      if (requestCount === 1) {
        response.writeHead(503, { 'x-outcome': 'not-run', 'x-leaving': 'true' }).end('{}');
      } else {
        response.end(
          `${getTokenEvent(attemptId, 0, 'a')}${getFinishEvent(attemptId)}data: [DONE]\n\n`,
        );
      }
    });
    engines.push(engine);
    const port = await engine.listen();
    const [other] = deployment.backends.splice(0);
    deployment.backends.push(other!);
    deployment.registerExternalBackend('engines', port);
    daemon = await deployment.startStandaloneDaemon();
    for (let turn = 0; requestCount < 3; turn += 1) {
      const { chatRequest } = createChat(daemon.port, 3, 6, `posters, order ${turn}`);
      // eslint-disable-next-line no-await-in-loop
      expect((await askChat(chatRequest)).whole).toBe(true);
    }
  });
});
