import { reservePorts } from '@apricotrill/standins';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { getReadiness } from '../test/admin.js';
import { getSettings } from '../test/Deployment.js';
import { waitForDecision } from '../test/decisions.js';
import { Fleet } from '../test/Fleet.js';
import { pollUntil } from '../test/pollUntil.js';
import { Binary, Subprocess } from '../test/Subprocess.js';

enum PortName {
  Callers = 'port',
  Admin = 'adminPort',
  Mesh = 'meshPort',
}

/** The names of the ports in the log. */
const LOGGED_NAMES: Readonly<Record<PortName, string>> = {
  [PortName.Callers]: 'callers',
  [PortName.Admin]: 'admin',
  [PortName.Mesh]: 'mesh',
};

describe('a daemon whose ports are not available when it starts', () => {
  let fleet: Fleet;
  let directory: string;
  let settingsFile: string;
  let ports: Record<PortName, number>;
  const processes: Subprocess[] = [];
  const holders: Server[] = [];

  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.prepare();
    await fleet.apply(0);
    directory = await mkdtemp(join(tmpdir(), 'apricotrill-ports-'));
    const [port, adminPort, meshPort] = (await reservePorts(3)) as [number, number, number];
    ports = { port, adminPort, meshPort };
    settingsFile = join(directory, 'router.jsonc');
    const settings = { ...getSettings('daemon-1'), ...ports, platformUrl: fleet.platform.url };
    await writeFile(settingsFile, JSON.stringify(settings));
  });

  afterEach(async () => {
    holders.splice(0).forEach((holder) => holder.close());
    await Promise.all(processes.splice(0).map((process) => process.dispose()));
    await fleet.dispose();
    await rm(directory, { recursive: true });
  });

  function start(...args: string[]): Subprocess {
    const process = new Subprocess(Binary.Router, ['--settings', settingsFile, ...args]);
    processes.push(process);
    return process;
  }

  async function hold(name: PortName): Promise<Server> {
    const holder = createServer().listen(ports[name], '127.0.0.1');
    holders.push(holder);
    await once(holder, 'listening');
    return holder;
  }

  /** Waits until a process waits for a port. @throws when it ends instead */
  function waitUntilWaiting(process: Subprocess, name: PortName): Promise<unknown> {
    const waiting = waitForDecision(
      process.log,
      'daemon',
      ({ event, port }) => event === 'port-unavailable' && port === LOGGED_NAMES[name],
    );
    const ended = process.exited.then((code) => {
      throw new Error(`process ended with ${code}:\n${process.log.lines.join('\n')}`);
    });
    return Promise.race([waiting, ended]);
  }

  const waitUntilReady = () =>
    pollUntil(
      () => getReadiness(ports).catch(() => undefined),
      (status) => status === 200,
    );

  // Guards against a daemon that ends at its start, and at each restart, since a port is taken for a moment.
  it.each(Object.values(PortName))('serves once %s is free', async (name) => {
    const holder = await hold(name);
    const process = start();
    await waitUntilWaiting(process, name);
    holder.close();
    expect(await process.getListening()).toMatchObject(ports);
    await waitUntilReady();
  });

  // Guards against requests from the load balancer that are refused, and against ports that wait for one another.
  it('is not ready while it does not accept connections from callers', async () => {
    const holder = await hold(PortName.Callers);
    const process = start();
    await waitUntilWaiting(process, PortName.Callers);
    await waitForDecision(process.log, 'configuration', ({ event }) => event === 'in-force');
    expect(await getReadiness(ports)).toBe(503);
    holder.close();
    await waitUntilReady();
  });

  // Guards against a process that must be killed, since it waits for a port and ignores signals.
  it.each(Object.values(PortName))('ends on SIGTERM while it waits for %s', async (name) => {
    await hold(name);
    const process = start();
    await waitUntilWaiting(process, name);
    process.signal('SIGTERM');
    expect(await process.exited).toBe(0);
  });

  // Guards against a successor that ends at its start, since the process before it still shuts down.
  it('serves once the process before it has ended', async () => {
    const first = start();
    await first.getListening();
    await waitUntilReady();
    first.signal('SIGTERM');
    const second = start();
    expect(await second.getListening()).toMatchObject(ports);
    expect(await first.exited).toBe(0);
    await waitUntilReady();
  });

  // Guards against a daemon that cannot start but does not exit, so that it is never ready and never restarted.
  // The error comes after ports are open, which would keep the process alive.
  it('ends for an error that does not pass, though ports are open', async () => {
    const missing = join(directory, 'missing.jsonc');
    const process = start('--register', missing, '--rules', missing);
    expect(await process.exited).toBe(1);
    expect(process.log.lines.join('\n')).toContain(missing);
  });
});
