import { reservePorts } from '@apricotrill/standins';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { getSettings } from '../test/Deployment.js';
import { waitForDecision } from '../test/decisions.js';
import { Fleet } from '../test/Fleet.js';
import { Binary, Subprocess } from '../test/Subprocess.js';

describe('the start and the end of a router process', () => {
  let fleet: Fleet;
  let directory: string;
  let settingsFile: string;
  let settings: string;
  let router: Subprocess;

  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.prepare();
    await fleet.apply(0);
    directory = await mkdtemp(join(tmpdir(), 'apricotrill-lifecycle-'));
    settingsFile = join(directory, 'router.jsonc');
    const [port, adminPort, meshPort] = (await reservePorts(3)) as [number, number, number];
    const ports = { port, adminPort, meshPort };
    settings = JSON.stringify({
      ...getSettings('daemon-1'),
      ...ports,
      platformUrl: fleet.platform.url,
    });
  });

  afterEach(async () => {
    await router.dispose();
    await fleet.dispose();
    await rm(directory, { recursive: true });
  });

  function start(preload?: string): void {
    router = new Subprocess(Binary.Router, ['--settings', settingsFile], preload);
  }

  /** Waits until the process waits for its settings. @throws when it ends instead */
  async function waitUntilWaiting(): Promise<void> {
    const waiting = waitForDecision(
      router.log,
      'daemon',
      ({ event }) => event === 'settings-unavailable',
    );
    const ended = router.exited.then((code) => {
      throw new Error(`process ended with ${code}:\n${router.log.lines.join('\n')}`);
    });
    await Promise.race([waiting, ended]);
  }

  /** Waits for the end of the process. @returns the last line of its output */
  async function waitForEnd(): Promise<{ code: number | string; last: unknown }> {
    const code = await router.exited;
    const line = await router.output.waitFor((text) => text.includes('"ended"'));
    return { code, last: JSON.parse(line) };
  }

  // Guards against a daemon that ends at its start, and at each restart, since its settings are written later.
  it.each([
    ['missing', undefined],
    ['empty', ''],
    ['half written', '{"id": "daemon-1", "po'],
  ])('starts once its settings are whole: %s', async (_name, text) => {
    if (text !== undefined) {
      await writeFile(settingsFile, text);
    }
    start();
    await waitUntilWaiting();
    await writeFile(settingsFile, settings);
    expect(await router.getListening()).toMatchObject({ port: expect.any(Number) });
  });

  // Guards against a process that must be killed, since it waits for its settings and ignores signals.
  it('ends on SIGTERM while it waits for its settings', async () => {
    start();
    await waitUntilWaiting();
    router.signal('SIGTERM');
    const last = { event: 'ended', reason: 'stopped', signal: 'SIGTERM', code: 0 };
    expect(await waitForEnd()).toEqual({ code: 0, last: expect.objectContaining(last) });
  });

  // Guards against ends that leave no reason.
  it('states why it ends: a signal', async () => {
    await writeFile(settingsFile, settings);
    start();
    await router.getListening();
    router.signal('SIGTERM');
    const last = { event: 'ended', reason: 'stopped', signal: 'SIGTERM', code: 0, open: 0 };
    expect(await waitForEnd()).toEqual({ code: 0, last: expect.objectContaining(last) });
  });

  // Guards against the end of all requests of a process by an error that concerns one of them at most.
  it.each([
    ['uncaughtException', `throw new Error('provoked error')`],
    ['unhandledRejection', `Promise.reject(new Error('provoked error'))`],
  ])('goes on after an error that no handler catches: %s', async (step, statement) => {
    await writeFile(settingsFile, settings);
    start(`process.on('SIGUSR2', () => { ${statement}; });`);
    await router.getListening();
    router.signal('SIGUSR2');
    const fault = router.waitForLog((line) => line.includes('"event":"fault"'));
    const line = await Promise.race([fault, router.exited]);
    expect(line).toContain(`"step":"${step}"`);
    expect(line).toContain('provoked error');
    router.signal('SIGTERM');
    expect(await waitForEnd()).toMatchObject({ code: 0, last: { reason: 'stopped' } });
  });

  it('states why it ends: wrong settings', async () => {
    await writeFile(settingsFile, '{"id": 5}');
    start();
    const last = { event: 'ended', reason: 'invalid-settings', code: 2 };
    expect(await waitForEnd()).toEqual({ code: 2, last: expect.objectContaining(last) });
  });
});
