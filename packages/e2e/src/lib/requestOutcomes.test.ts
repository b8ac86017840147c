import { checkArtwork, placeHold } from '../test/calls.js';
import { getDecisions } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import { LocalDaemon } from '../test/LocalDaemon.js';
import { MemoryClaims } from '../test/MemoryClaims.js';
import type { ClaimPort } from '../test/MemoryClaims.js';

const HASTY_HOLD = { 'x-apricotrill-class': 'hasty-hold' };

describe('reported outcome of refused and broken calls', () => {
  let deployment: Deployment;
  let claims: MemoryClaims;
  const daemons: LocalDaemon[] = [];

  beforeEach(async () => {
    deployment = new Deployment();
    claims = new MemoryClaims();
    await deployment.prepare();
  });

  afterEach(async () => {
    await Promise.all(daemons.splice(0).map((daemon) => daemon.dispose()));
    await deployment.dispose();
  });

  async function startDaemon(port: ClaimPort = claims): Promise<LocalDaemon> {
    const daemon = await LocalDaemon.start(deployment, port);
    daemons.push(daemon);
    return daemon;
  }

  async function startPortals(count: number) {
    return Promise.all(Array.from({ length: count }, () => deployment.startBackend('portal')));
  }

  /** Returns how often holds with this key ran, over all portals. */
  async function countRuns(key: string): Promise<number> {
    const runs = await Promise.all(deployment.backends.map((portal) => portal.getRuns()));
    return runs.flat().filter(({ idempotencyKey }) => idempotencyKey === key).length;
  }

  const getOutcomes = (answers: { status: number; body: { outcome?: string } }[]) =>
    answers.map(({ status, body }) => body.outcome ?? status);

  // Guards against holds that fail although a portal is available. One replica has crashed and its
  // port refuses connections, which proves that the request did not run there.
  it('sends a hold to another replica when the connection was refused', async () => {
    const [first] = await startPortals(2);
    const { port } = await startDaemon();
    await first!.injectFault({ kind: 'crash' }).catch(() => undefined);
    await first!.process.exited;
    deployment.backends.splice(deployment.backends.indexOf(first!), 1);
    const keys = ['hold-1', 'hold-2', 'hold-3'];
    const answers = await Promise.all(keys.map((key) => placeHold(port, key)));
    expect(getOutcomes(answers)).toEqual([200, 200, 200]);
    expect(await Promise.all(keys.map(countRuns))).toEqual([1, 1, 1]);
  });

  // Guards against reporting that a hold may have run when no replica could be reached, which
  // proves that it did not. Its key must be released, since nothing ran under it.
  it('reports a hold as not run when no replica could be reached', async () => {
    const [portal] = await startPortals(1);
    const { port } = await startDaemon();
    await portal!.injectFault({ kind: 'crash' }).catch(() => undefined);
    await portal!.process.exited;
    const answer = await placeHold(port, 'hold-1');
    expect(answer).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    expect(claims.ends.get('hold-1')).toEqual({ kind: 'released' });
  });

  it('sends a hold to another replica when it was refused with the documented response', async () => {
    const [first, second] = await startPortals(2);
    await first!.injectFault({ kind: 'refuse', count: 1000 });
    const { port } = await startDaemon();
    const answers = await Promise.all(['a', 'b', 'c', 'd'].map((key) => placeHold(port, key)));
    expect(getOutcomes(answers)).toEqual([200, 200, 200, 200]);
    expect(await second!.getRuns()).toHaveLength(4);
  });

  it('reports a hold as not run when all replicas refused it', async () => {
    const [portal] = await startPortals(1);
    await portal!.injectFault({ kind: 'refuse', count: 1000 });
    const { port } = await startDaemon();
    const answer = await placeHold(port, 'hold-1');
    expect(answer).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    expect(await countRuns('hold-1')).toBe(0);
  });

  // Guards against a hold that is placed twice. The portal runs the hold, and the connection breaks
  // before the response. A broken connection does not prove that the request did not run.
  it('never retries a hold whose connection broke', async () => {
    const portals = await startPortals(2);
    await Promise.all(
      portals.map((portal) => portal.injectFault({ kind: 'drop-after', tokens: 0, count: 1 })),
    );
    const { log, port } = await startDaemon();
    const answer = await placeHold(port, 'hold-1');
    expect(answer).toMatchObject({ status: 502, body: { outcome: 'unknown' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    expect(getDecisions(log, 'choose')).toHaveLength(1);
    const again = await placeHold(port, 'hold-1');
    expect(again).toMatchObject({ status: 409, body: { outcome: 'unknown' } });
    expect(await countRuns('hold-1')).toBe(1);
  });

  it('never retries a hold whose connection stopped responding', async () => {
    const [portal] = await startPortals(2);
    await Promise.all(deployment.backends.map((each) => each.injectFault({ kind: 'stall' })));
    const { log, port } = await startDaemon();
    const answer = await placeHold(port, 'hold-1', { headers: HASTY_HOLD });
    expect(answer).toMatchObject({ status: 502, body: { outcome: 'unknown' } });
    expect(getDecisions(log, 'choose')).toHaveLength(1);
    await Promise.all(deployment.backends.map((each) => each.injectFault({ kind: 'unstall' })));
    await portal!.getRuns();
    expect(await countRuns('hold-1')).toBeLessThanOrEqual(1);
  });

  it('retries a check whose connection broke a limited number of times', async () => {
    const [portal] = await startPortals(1);
    const { log, port } = await startDaemon();
    await portal!.injectFault({ kind: 'drop-after', tokens: 0, count: 2 });
    expect((await checkArtwork(port, '17')).status).toBe(200);
    expect(getDecisions(log, 'choose')).toHaveLength(3);
    await portal!.injectFault({ kind: 'drop-after', tokens: 0, count: 1000 });
    const answer = await checkArtwork(port, '18');
    expect(answer).toMatchObject({ status: 503, body: { outcome: 'failed' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    expect(getDecisions(log, 'choose').length).toBeLessThanOrEqual(3 + 5);
  });

  // Guards against a hold that waits without a limit, a late grant that is never released, and a
  // hold that is reported as not run while an earlier one with its key runs. The claim owner
  // answers late or never, so nobody has looked up the key.
  it('refuses a hold whose key cannot be claimed in time and releases a late grant', async () => {
    const [portal] = await startPortals(1);
    let ended: { kind: string } | undefined;
    let grant = () => {};
    const { port } = await startDaemon({
      claim: () =>
        new Promise((resolve) => {
          const end = (how: { kind: string }) => {
            ended = how;
          };
          grant = () => resolve({ kind: 'granted', end });
        }),
    });
    const answer = await placeHold(port, 'hold-1', { headers: HASTY_HOLD });
    expect(answer).toMatchObject({ status: 503, body: { outcome: 'unknown' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    grant();
    await checkArtwork(port, '17');
    expect(ended).toEqual({ kind: 'released' });
    expect((await portal!.getRuns()).map(({ idempotencyKey }) => idempotencyKey)).toEqual([
      undefined,
    ]);
  });

  // Guards against a running hold that is reported as not run. Its caller repeats the request after
  // its API key was replaced, or at a daemon that cannot claim keys, so the key is not looked up.
  it('reports the outcome as unknown if the key was not looked up', async () => {
    await startPortals(1);
    const failing = await startDaemon({ claim: () => Promise.reject(new Error('lost')) });
    const other = await startDaemon();
    const answers = [
      await placeHold(failing.port, 'hold-1'),
      await placeHold(other.port, 'hold-1', { headers: { authorization: 'Bearer replaced' } }),
    ];
    expect(answers.map(({ status }) => status)).toEqual([503, 401]);
    expect(getOutcomes(answers)).toEqual(['unknown', 'unknown']);
    expect(getDecisions(failing.log, 'claim')).toMatchObject([{ event: 'failed' }]);
  });

  // Guards against second runs and wrong outcomes under load. Many holds run at once and are
  // repeated by their callers, while portals refuse requests, drop connections and send answers of
  // other requests.
  it('reports correct outcomes for many holds under faults', async () => {
    const portals = await startPortals(3);
    await Promise.all(
      portals.flatMap((portal) => [
        portal.injectFault({ kind: 'drop-after', tokens: 0, count: 3 }),
        portal.injectFault({ kind: 'refuse', count: 5 }),
        portal.injectFault({ kind: 'stray-answers', count: 6 }),
      ]),
    );
    const { port } = await startDaemon();
    const keys = Array.from({ length: 60 }, (_, index) => `hold-${index}`);
    const answers = await Promise.all(
      keys.flatMap((key) => [placeHold(port, key), placeHold(port, key)]),
    );
    const answered = answers.filter(({ status }) => status === 200);
    expect(answered.filter(({ body }) => body.requestId === 'stray/0')).toEqual([]);
    const runs = await Promise.all(keys.map(countRuns));
    keys.forEach((key, index) => {
      const reported = getOutcomes(answers.slice(2 * index, 2 * index + 2));
      const minRuns = reported.includes(200) ? 1 : 0;
      const maxRuns = reported.every((outcome) => outcome === 'not-run') ? 0 : 1;
      expect({ key, reported, runs: runs[index] }).toEqual({
        key,
        reported,
        runs: Math.min(maxRuns, Math.max(minRuns, runs[index]!)),
      });
    });
    expect(runs.filter((count) => count === 1).length).toBeGreaterThan(30);
  });
});
