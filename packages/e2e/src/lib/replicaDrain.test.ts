import { waitForService } from '../test/admin.js';
import type { Backend } from '../test/Backend.js';
import { createChat } from '../test/calls.js';
import { askChat } from '../test/chat.js';
import { getDecisions, waitForDecision } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import type { Daemon } from '../test/Deployment.js';
import { FakeEngine, getFinishEvent, getTokenEvent } from '../test/FakeEngine.js';

const FAST = ['--step-base', '2', '--step-per-request', '0', '--prefill-per-token', '0'];

describe('a replica that leaves and returns', () => {
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

  const isLeaving = (engine: Backend) =>
    waitForService(daemon, 'engines', ({ replicas }) =>
      replicas.some(({ id, leaving }) => id === engine.id && leaving),
    );

  const countDispatches = ({ id }: Backend) =>
    getDecisions(daemon.process.log, 'choose').filter(({ replica }) => replica === id).length;

  /** Asks for short answers, one after another, until the engine has run one. */
  async function askUntilRun(engine: Backend, known: number): Promise<void> {
    const { chatRequest, expected } = createChat(daemon.port, 3);
    expect((await askChat(chatRequest)).tokens).toEqual(expected);
    if ((await engine.getRuns()).length === known) {
      await askUntilRun(engine, known);
    }
  }

  // Symptom: an engine that shuts down is sent new work, or the answers it still gives are cut.
  // Sequence: it says that it leaves while one answer is on its way; more requests come. Cause:
  // only the lagging list of instances was asked, or leaving was taken for gone.
  it('gets nothing new, ends what it has, and gets work again when it returns', async () => {
    daemon = await deployment.startStandaloneDaemon();
    const long = createChat(daemon.port, 1500);
    let leaver: Backend | undefined;
    let noticed: Promise<unknown> | undefined;
    const onToken = (count: number) => {
      if (count === 10) {
        const { replica } = getDecisions(daemon.process.log, 'choose')[0]!;
        leaver = deployment.backends.find(({ id }) => id === replica)!;
        noticed = leaver.injectFault({ kind: 'leave' }).then(() => isLeaving(leaver!));
      }
    };
    const answering = askChat({ ...long.chatRequest, onToken });
    await waitForDecision(daemon.process.log, 'choose');
    while (noticed === undefined) {
      // eslint-disable-next-line no-await-in-loop
      await waitForService(daemon, 'engines', () => true);
    }
    await noticed;
    const before = countDispatches(leaver!);
    const { chatRequest, expected } = createChat(daemon.port, 3);
    const answers = await Promise.all(Array.from({ length: 8 }, () => askChat(chatRequest)));
    answers.forEach(({ tokens }) => expect(tokens).toEqual(expected));
    expect(countDispatches(leaver!)).toBe(before);
    expect((await answering).tokens).toEqual(long.expected);
    const runs = await leaver!.getRuns();
    expect(runs.map(({ completed }) => completed)).toEqual([true]);
    await leaver!.injectFault({ kind: 'stay' });
    await askUntilRun(leaver!, 1);
  });

  // Symptom: an engine that stayed after all never gets work again. Sequence: it refuses one
  // request with the word that it leaves, and takes work again before anybody asks for its load.
  // Cause: its return was noticed only by those who had asked it while it left.
  it('gets work again when nobody saw its leaving but by a refusal', async () => {
    let asked = 0;
    const engine = new FakeEngine((attemptId, response) => {
      asked += 1;
      if (asked === 1) {
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
    for (let turn = 0; asked < 3; turn += 1) {
      const { chatRequest } = createChat(daemon.port, 3, 6, `posters, order ${turn}`);
      // eslint-disable-next-line no-await-in-loop
      expect((await askChat(chatRequest)).whole).toBe(true);
    }
  });
});
