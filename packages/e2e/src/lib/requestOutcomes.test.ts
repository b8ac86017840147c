import { checkArtwork, placeHold } from '../test/calls.js';
import { getDecisions } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import { LocalDaemon } from '../test/LocalDaemon.js';
import { MemoryClaims } from '../test/MemoryClaims.js';
import type { ClaimPort } from '../test/MemoryClaims.js';

const HASTY_HOLD = { 'x-apricotrill-class': 'hasty-hold' };

describe('what a refused or broken call is said to have done', () => {
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

  /** How often the holds of a key ran, at all portals together. */
  async function countRuns(key: string): Promise<number> {
    const runs = await Promise.all(deployment.backends.map((portal) => portal.getRuns()));
    return runs.flat().filter(({ idempotencyKey }) => idempotencyKey === key).length;
  }

  const getOutcomes = (answers: { status: number; body: { outcome?: string } }[]) =>
    answers.map(({ status, body }) => body.outcome ?? status);

  // Symptom: holds fail although a portal is well. Sequence: one replica has crashed and its port
  // refuses connections. Cause: a refused connection taken for a request that may have run.
  it('sends a hold elsewhere whose connection was refused', async () => {
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

  // Symptom: a shop is told that its hold may have run, and finds no trace of it. Sequence: no
  // replica can be reached. Cause: the proof was there and was not used. The key must be free
  // again, since nothing ran under it.
  it('proves a hold not run that nobody could be sent', async () => {
    const [portal] = await startPortals(1);
    const { port } = await startDaemon();
    await portal!.injectFault({ kind: 'crash' }).catch(() => undefined);
    await portal!.process.exited;
    const answer = await placeHold(port, 'hold-1');
    expect(answer).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    expect(claims.ends.get('hold-1')).toEqual({ kind: 'released' });
  });

  it('sends a hold elsewhere that was refused by the documented answer', async () => {
    const [first, second] = await startPortals(2);
    await first!.injectFault({ kind: 'refuse', count: 1000 });
    const { port } = await startDaemon();
    const answers = await Promise.all(['a', 'b', 'c', 'd'].map((key) => placeHold(port, key)));
    expect(getOutcomes(answers)).toEqual([200, 200, 200, 200]);
    expect(await second!.getRuns()).toHaveLength(4);
  });

  it('proves a hold not run that everybody refused', async () => {
    const [portal] = await startPortals(1);
    await portal!.injectFault({ kind: 'refuse', count: 1000 });
    const { port } = await startDaemon();
    const answer = await placeHold(port, 'hold-1');
    expect(answer).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    expect(Number(answer.retryAfter)).toBeGreaterThan(0);
    expect(await countRuns('hold-1')).toBe(0);
  });

  // Symptom: an order frozen twice. Sequence: the portal runs the hold, and the connection breaks
  // before its answer; the daemon or its caller sends the hold again. Cause: a broken connection
  // taken for a request that did not run.
  it('never sends a hold again whose connection broke', async () => {
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

  it('never sends a hold again whose connection went silent', async () => {
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

  it('sends a check again whose connection broke, a bounded number of times', async () => {
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

  // Symptom: a hold neither runs nor is refused, or is called "not run" while an earlier one of its
  // key runs. Sequence: whoever keeps the claims does not answer, or answers after the caller was
  // told. Cause: a wait without a bound; a key granted late that nobody gives back; and no run of
  // this request taken for no run of its key, which nobody has looked up.
  it('refuses a hold whose key can not be claimed in time, and gives a late grant back', async () => {
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

  // Symptom: a hold is called "not run" while it runs. Sequence: its caller asks again after its API
  // key was replaced, or at a daemon that can't keep claims. Cause: as above.
  it('says of no key what it did not look up', async () => {
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

  // Symptom: now and then, under faults, a hold ran twice, or one said not to have run has run.
  // Sequence: many holds at once, repeated by their callers, while portals refuse, drop and cross
  // answers. Cause: any of the above in combination.
  it('keeps its word for many holds under faults', async () => {
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
      const said = getOutcomes(answers.slice(2 * index, 2 * index + 2));
      const least = said.includes(200) ? 1 : 0;
      const most = said.every((outcome) => outcome === 'not-run') ? 0 : 1;
      expect({ key, said, runs: runs[index] }).toEqual({
        key,
        said,
        runs: Math.min(most, Math.max(least, runs[index]!)),
      });
    });
    expect(runs.filter((count) => count === 1).length).toBeGreaterThan(30);
  });
});
