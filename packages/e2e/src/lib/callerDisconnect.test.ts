import { getMetric, waitForService } from '../test/admin.js';
import { askWholeChat, createChat, placeHold } from '../test/calls.js';
import { askChat } from '../test/chat.js';
import { getDecisions, waitForDecision } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import { LocalDaemon } from '../test/LocalDaemon.js';
import { MemoryClaims } from '../test/MemoryClaims.js';

const ONE_SLOT = ['--slots', '1', '--step-base', '2', '--step-per-request', '0'];

describe('a caller that disconnects', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = new Deployment();
    await deployment.prepare();
  });

  afterEach(() => deployment.dispose());

  // Guards against engines that compute answers nobody reads. The caller closes its connection in
  // the middle of a long answer, and the engine must be told at once. The engine has one slot, so
  // the second answer arrives only after the work on the first has ended.
  it.each(['streamed', 'unstreamed'])('cancels the work on its %s answer', async (form) => {
    const engine = await deployment.startBackend('engines', ONE_SLOT);
    const daemon = await deployment.startStandaloneDaemon();
    const { chatRequest, expected } = createChat(daemon.port, 2000);
    const leaving = new AbortController();
    const onToken = (count: number) => count === 10 && leaving.abort();
    const { signal } = leaving;
    const ask = form === 'streamed' ? askChat({ ...chatRequest, onToken, signal }) : undefined;
    const left = ask ?? askWholeChat(chatRequest, signal);
    const rejected = expect(left).rejects.toThrow();
    if (form === 'unstreamed') {
      await engine.waitForRuns(([run]) => (run?.tokens ?? 0) >= 10);
      leaving.abort();
    }
    await rejected;
    const second = createChat(daemon.port, 3);
    expect((await askChat(second.chatRequest)).tokens).toEqual(second.expected);
    const [run] = await engine.getRuns();
    expect(run).toMatchObject({ completed: false });
    expect(run!.tokens).toBeLessThan(expected.length);
    const wasted = 'apricotrill_wasted_tokens_total{class="draft",reason="caller-left"}';
    expect(await getMetric(daemon, wasted)).toBeGreaterThanOrEqual(10);
  });

  // Guards against engines that compute answers for callers that disconnected earlier. The caller
  // disconnects while its request waits in the daemon's queue.
  it('removes its request from the queue', async () => {
    const engine = await deployment.startBackend('engines', ONE_SLOT);
    const daemon = await deployment.startStandaloneDaemon();
    const { chatRequest } = createChat(daemon.port, 2000);
    const staying = new AbortController();
    const leaving = new AbortController();
    const ask = ({ signal }: AbortController) =>
      askChat({ ...chatRequest, signal }).catch(() => undefined);
    const countWaiting = async (matches: (count: number) => boolean) => {
      const count = ({ waiting }: { waiting: Record<string, number> }) => waiting.draft ?? 0;
      return count(await waitForService(daemon, 'engines', (service) => matches(count(service))));
    };
    const { log } = daemon.process;
    const waitForIdentified = (count: number) =>
      waitForDecision(log, 'identify', () => getDecisions(log, 'identify').length >= count);
    const asked = [ask(staying)];
    // eslint-disable-next-line no-await-in-loop
    while ((await countWaiting(() => true)) === 0) {
      asked.push(ask(staying));
    }
    await waitForIdentified(asked.length);
    const before = await countWaiting(() => true);
    asked.push(ask(leaving));
    await waitForIdentified(asked.length);
    const { request } = getDecisions(log, 'identify').at(-1)!;
    leaving.abort();
    const left = await waitForDecision(log, 'settle', (settled) => settled.request === request);
    expect(left.kind).toBe('caller-left');
    await countWaiting((count) => count <= before);
    staying.abort();
    await Promise.all(asked);
    const second = createChat(daemon.port, 3);
    expect((await askChat(second.chatRequest)).tokens).toEqual(second.expected);
    const ran = (await engine.getRuns()).map(({ requestId }) => requestId.split('/')[0]);
    expect(ran.length).toBeGreaterThan(0);
    expect(ran).not.toContain(left.request);
  });

  // Guards against a hold whose outcome nobody knows. The caller disconnects while its hold runs
  // and repeats the request with the same key. A hold must not be cancelled like other work.
  it('does not cancel a hold', async () => {
    const portal = await deployment.startBackend('portal', ['--delay', '200']);
    const claims = new MemoryClaims();
    const daemon = await LocalDaemon.start(deployment, claims);
    const leaving = new AbortController();
    const rejected = expect(
      placeHold(daemon.port, 'hold-1', { signal: leaving.signal }),
    ).rejects.toThrow();
    await portal.waitForRuns((runs) => runs.length === 1);
    leaving.abort();
    await rejected;
    await waitForDecision(daemon.log, 'settle');
    expect(claims.ends.get('hold-1')).toMatchObject({ kind: 'answered' });
    const again = await placeHold(daemon.port, 'hold-1');
    expect(again).toMatchObject({ status: 200, body: { run: 1 } });
    expect(await portal.getRuns()).toMatchObject([{ completed: true }]);
    await daemon.dispose();
  });
});
