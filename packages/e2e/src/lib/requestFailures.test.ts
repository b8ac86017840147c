import { askWholeChat, checkArtwork, createChat, placeHold } from '../test/calls.js';
import { askChat } from '../test/chat.js';
import { Deployment } from '../test/Deployment.js';
import { FakeEngine, getTokenEvent } from '../test/FakeEngine.js';
import { LocalDaemon } from '../test/LocalDaemon.js';

const HASTY_HOLD = { 'x-apricotrill-class': 'hasty-hold' };

// Guards against a caller that never gets a response, or gets one without Retry-After and retries
// at once. Its request is given up in the queue, or before or after the first token of its answer.
describe('a request that is given up is answered at once with Retry-After', () => {
  let deployment: Deployment;
  let engine: FakeEngine | undefined;
  let daemon: LocalDaemon;

  beforeEach(async () => {
    deployment = new Deployment();
    await deployment.prepare();
  });

  afterEach(async () => {
    engine?.dispose();
    await daemon.dispose();
    await deployment.dispose();
  });

  async function startWith(fake: FakeEngine): Promise<void> {
    engine = fake;
    deployment.registerExternalBackend('engines', await fake.listen());
    daemon = await LocalDaemon.start(deployment);
  }

  it('when its deadline expires in the queue, before the requests ahead of it complete', async () => {
    const portal = await deployment.startBackend('portal', ['--delay', '4000', '--slots', '1']);
    daemon = await LocalDaemon.start(deployment);
    const finished: string[] = [];
    const checks = Array.from({ length: 12 }, async () => {
      await checkArtwork(daemon.port, '17');
      finished.push('check');
    });
    await portal.waitForRuns((runs) => runs.length > 0);
    const held = await placeHold(daemon.port, 'hold-1', { headers: HASTY_HOLD });
    finished.push('hold');
    expect(held).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    expect(Number(held.retryAfter)).toBeGreaterThan(0);
    await Promise.race(checks);
    expect(finished[0]).toBe('hold');
  });

  it('when there is no replica', async () => {
    daemon = await LocalDaemon.start(deployment);
    const held = await placeHold(daemon.port, 'hold-1');
    expect(held).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    expect(Number(held.retryAfter)).toBeGreaterThan(0);
  });

  it('when every attempt failed before the first token', async () => {
    await startWith(new FakeEngine((_attemptId, response) => response.destroy()));
    const { chatRequest } = createChat(daemon.port, 2);
    const answer = await askChat(chatRequest);
    expect(answer).toMatchObject({ status: 503, problem: { outcome: 'failed' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
  });

  it('when every attempt failed after the first token', async () => {
    await startWith(
      new FakeEngine((attemptId, response) => {
        response.write(getTokenEvent(attemptId, 0, 'half'), () => response.destroy());
      }),
    );
    const { chatRequest } = createChat(daemon.port, 2);
    const answer = await askChat(chatRequest);
    expect(answer).toMatchObject({ status: 200, whole: false, problem: { outcome: 'failed' } });
    expect(answer.problem?.retryAfter).toBeGreaterThan(0);
  });

  // A retry would fail in the same way, so there is no Retry-After.
  it('with the status of the engine when the engine rejects the request', async () => {
    await startWith(
      new FakeEngine((_attemptId, response) => {
        response.writeHead(422).end('{"error":"too long for this model"}');
      }),
    );
    const answer = await askWholeChat(createChat(daemon.port, 2).chatRequest);
    expect(answer).toMatchObject({ status: 422, body: { outcome: 'failed' } });
    expect(answer.retryAfter).toBeUndefined();
  });
});
