import { RawCaller } from '@apricotrill/standins';
import { connect } from 'node:net';
import type { ServerResponse } from 'node:http';
import { getReadiness, getStatus } from '../test/admin.js';
import { createChat, placeHold } from '../test/calls.js';
import { askChat, getMessages } from '../test/chat.js';
import { waitForDecision } from '../test/decisions.js';
import { API_KEY, Deployment, MODEL } from '../test/Deployment.js';
import type { Daemon } from '../test/Deployment.js';
import { FakeEngine, getFinishEvent, getTokenEvent } from '../test/FakeEngine.js';
import { LocalDaemon } from '../test/LocalDaemon.js';
import { MemoryClaims } from '../test/MemoryClaims.js';

const FORCED_EXIT_CODE = 130;

const LIST_MODELS = 'GET /v1/models HTTP/1.1\r\nhost: daemon\r\n\r\n';

/** Connects repeatedly until the port refuses connections. */
async function waitUntilRefused(port: number): Promise<void> {
  const isRefused = await new Promise<boolean>((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(false);
    });
    socket.once('error', () => resolve(true));
  });
  if (!isRefused) {
    await waitUntilRefused(port);
  }
}

/** Polls the status until a request is in flight. */
async function waitUntilInFlight(daemon: { adminPort: number }): Promise<void> {
  if ((await getStatus(daemon)).inFlight === 0) {
    await waitUntilInFlight(daemon);
  }
}

describe('a daemon that is told to stop', () => {
  let deployment: Deployment;
  let daemon: Daemon;
  let engine: FakeEngine;
  const answers: { attemptId: string; response: ServerResponse }[] = [];

  beforeEach(async () => {
    answers.splice(0);
    deployment = new Deployment();
    await deployment.prepare();
    engine = new FakeEngine((attemptId, response) => {
      response.write(getTokenEvent(attemptId, 0, 'begun'));
      answers.push({ attemptId, response });
    });
    deployment.registerExternalBackend('engines', await engine.listen());
  });

  afterEach(async () => {
    engine.dispose();
    await deployment.dispose();
  });

  const completeAnswers = () =>
    answers.splice(0).forEach(({ attemptId, response }) => {
      const end = `${getFinishEvent(attemptId)}data: [DONE]\n\n`;
      response.end(`${getTokenEvent(attemptId, 1, ' ended')}${end}`);
    });

  const waitUntilDraining = () =>
    waitForDecision(daemon.process.log, 'daemon', ({ event }) => event === 'draining');

  // Guards against answers that are cut off, connection resets, and a daemon that must be killed.
  // It is told to stop during a stream, with a request half sent and idle connections open. It must
  // listen until the load balancer knows, wait for the half-sent request, and not wait for idle
  // connections.
  it('first reports that it is not ready, then completes everything in flight, and exits', async () => {
    daemon = await deployment.startStandaloneDaemon();
    const streaming = askChat(createChat(daemon.port, 2).chatRequest);
    await engine.waitForRequestCount(1);
    const idle = new RawCaller(daemon.port).send(LIST_MODELS);
    await idle.getStatus();
    const unused = new RawCaller(daemon.port);
    const body = JSON.stringify({ model: MODEL, messages: getMessages('half') });
    const head = ['POST /v1/chat/completions HTTP/1.1', 'host: daemon'];
    head.push(`authorization: Bearer ${API_KEY}`, `content-length: ${body.length}`);
    const sending = new RawCaller(daemon.port);
    sending.send(`${head.join('\r\n')}\r\n\r\n${body.slice(0, 20)}`);
    expect(await getReadiness(daemon)).toBe(200);
    daemon.process.signal('SIGTERM');
    await waitUntilDraining();
    expect(await getReadiness(daemon)).toBe(503);
    expect(await new RawCaller(daemon.port).send(LIST_MODELS).getStatus()).toBe(200);
    await waitUntilRefused(daemon.port);
    await Promise.all([idle.closed, unused.closed]);
    expect(await getReadiness(daemon)).toBe(503);
    sending.send(body.slice(20));
    await engine.waitForRequestCount(2);
    completeAnswers();
    expect(await streaming).toMatchObject({ whole: true, tokens: ['begun', ' ended'] });
    expect(await sending.waitFor('"usage"')).toContain('begun ended');
    expect(await daemon.process.exited).toBe(0);
  });

  it('exits at once on a second signal', async () => {
    daemon = await deployment.startStandaloneDaemon();
    const cut = expect(askChat(createChat(daemon.port, 2).chatRequest)).rejects.toThrow();
    await engine.waitForRequestCount(1);
    daemon.process.signal('SIGTERM');
    await waitUntilDraining();
    daemon.process.signal('SIGINT');
    expect(await daemon.process.exited).toBe(FORCED_EXIT_CODE);
    await cut;
  });

  // Guards against a hold whose outcome nobody knows. The daemon stops while holds run, and the
  // caller of one of them has disconnected. The shutdown must not only wait for callers.
  it('completes running holds, including those whose callers have disconnected', async () => {
    const portal = await deployment.startBackend('portal', ['--delay', '4000']);
    const claims = new MemoryClaims();
    const local = await LocalDaemon.start(deployment, claims);
    const leaving = new AbortController();
    const staying = placeHold(local.port, 'staying');
    const left = expect(
      placeHold(local.port, 'left', { signal: leaving.signal }),
    ).rejects.toThrow();
    await portal.waitForRuns((runs) => runs.length === 2);
    const stopped = local.stop();
    leaving.abort();
    await left;
    expect(await staying).toMatchObject({ status: 200 });
    await stopped;
    expect([...claims.ends.values()].map(({ kind }) => kind)).toEqual(['answered', 'answered']);
  });

  // Guards against a key that stays claimed although nothing ran. The caller disconnects while its
  // key is being claimed, the daemon stops, and then the claim is granted. The request must count
  // as in flight between two filters.
  it('waits for a hold whose key is still being claimed', async () => {
    await deployment.startBackend('portal');
    const ends: string[] = [];
    let grant = () => {};
    const claiming = new Promise<void>((resolve) => {
      grant = resolve;
    });
    const local = await LocalDaemon.start(deployment, {
      claim: async () => {
        await claiming;
        return { kind: 'granted', end: ({ kind }) => ends.push(kind) };
      },
    });
    const leaving = new AbortController();
    const left = expect(
      placeHold(local.port, 'left', { signal: leaving.signal }),
    ).rejects.toThrow();
    await waitUntilInFlight(local);
    const stopped = local.stop().then(() => [...ends]);
    leaving.abort();
    await left;
    await waitUntilRefused(local.port);
    grant();
    expect(await stopped).toEqual(['answered']);
  });
});
