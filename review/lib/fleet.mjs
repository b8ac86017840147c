/* eslint-disable no-await-in-loop, max-classes-per-file --
   Node needs the extensions of modules; the steps of a case follow each other */
// Starts the daemons of the project as the deploy file does, with settings like those of a small
// deployment, and ends them.
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, connect } from 'node:net';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';

/** The `run` line of deploy/system.toml. */
const COMMAND = [
  '--single-threaded',
  '--min-semi-space-size=4',
  '--max-old-space-size=120',
  'target/apricotrill-relay.cjs',
];

/** Bounds as on the sheet of the small deployments. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  failClosed: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  budgetSlack: 58,
  recoveryS: 12,
  deliverySlackMs: 120,
  reuseWindowS: 5.8,
};

async function tryPort(port) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const { port: chosen } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return chosen;
}

/** Returns the first of several consecutive free ports. */
async function findPorts(count) {
  for (;;) {
    try {
      const first = await tryPort(0);
      for (let next = first + 1; next < first + count; next += 1) {
        await tryPort(next);
      }
      return first;
    } catch {
      // One of them is in use; the next try takes others.
    }
  }
}

/** One daemon, which can be signalled and started again. */
export class Daemon {
  constructor(settings, folder) {
    Object.assign(this, { settings, lines: [], exits: [] });
    this.file = join(folder, `${settings.nodeName}.json`);
    this.callers = settings.listen.frontend;
    this.readiness = settings.listen.readiness;
    writeFileSync(this.file, JSON.stringify(settings));
  }

  start() {
    this.startedAt = Date.now();
    const child = spawn(process.execPath, COMMAND, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, APRICOTRILL_NODE_FILE: this.file },
    });
    this.child = child;
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const parts = (rest + bytes).split('\n');
      rest = parts.pop();
      parts.forEach((line) => this.lines.push(line));
    });
    child.stderr.on('data', (bytes) => this.lines.push(String(bytes)));
    child.once('exit', (code, signal) => this.exits.push({ at: Date.now(), code, signal }));
  }

  /** Resolves when the daemon reports itself ready. */
  async untilReady(limit = 15_000) {
    for (const end = Date.now() + limit; Date.now() < end;) {
      if (await this.isReady()) {
        return;
      }
      await wait(100);
    }
    throw new Error(`${this.settings.nodeName} isn't ready`);
  }

  isReady() {
    const [host, port] = this.readiness.split(':');
    return new Promise((resolve) => {
      const call = httpRequest(
        { host, port, path: '/apricotrill/readyz', agent: false },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      call.once('error', () => resolve(false));
      call.end();
    });
  }

  async untilExit() {
    if (this.child === undefined) {
      return;
    }
    if (this.child.exitCode === null && this.child.signalCode === null) {
      await new Promise((resolve) => {
        this.child.once('exit', resolve);
      });
    }
  }

  signal(name) {
    this.child.kill(name);
  }
}

/** Daemons on loopback addresses. */
export class Fleet {
  daemons = [];

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  constructor() {
    // A case that is ended early leaves no process behind.
    process.once('SIGTERM', () => process.exit(2));
    process.once('SIGINT', () => process.exit(2));
    process.once('exit', () => this.daemons.forEach(({ child }) => child?.kill('SIGKILL')));
  }

  /**
   * @param storeOf - the store's address for a daemon's number
   * @param extraOf - further settings for a daemon's number
   */
  async start(count, storeOf, extraOf = () => ({})) {
    const zones = ['heredia-a', 'cartago-b', 'alajuela-c'];
    for (let index = 0; index < count; index += 1) {
      const first = await findPorts(5);
      const zone = zones[index % zones.length];
      const extra = extraOf(index);
      const settings = {
        nodeName: `edge-${zone}-${1 + Math.floor(index / zones.length)}`,
        role: 'relay',
        machineClass: 'edge',
        serves: ['edge'],
        ip: '127.0.0.1',
        zone,
        region: 'cr-central',
        zones: Object.fromEntries(zones.map((name) => [name, 'cr-central'])),
        listen: { frontend: `127.0.0.1:${first}`, readiness: `127.0.0.1:${first + 1}` },
        internalPortRange: [first + 2, first + 4],
        seedNodes: [],
        bootstrap: true,
        inTolerance: false,
        limits: {
          cpuQuota: 0.675,
          cpuCores: 1,
          memoryMb: 200,
          maxFds: 4100,
          bandwidthMbps: 1000,
          diskMb: 0,
        },
        dataDir: null,
        discovery: 'platform',
        entrypoint: 'vip',
        heartbeatMs: 1200,
        invariants: [
          'base',
          'drain',
          'config',
          'cost',
          'retry',
          'recover',
          'engine',
          'stream',
          'tenants',
          'platform',
        ],
        faultTolerance: { nodes: 1, zones: 0, regions: 0 },
        platform: {
          address: storeOf(index),
          form: 'objects',
          writesPerS: 400,
          readsPerS: 2000,
          historyS: 20,
          valueBytes: 1_048_576,
          ttlMinMs: 1000,
        },
        ...extra,
        bounds: { ...BOUNDS, ...extra.bounds },
      };
      this.daemons.push(new Daemon(settings, this.folder));
    }
    this.daemons.forEach((daemon) => daemon.start());
    await Promise.all(this.daemons.map((daemon) => daemon.untilReady()));
  }

  async end() {
    this.daemons.forEach((daemon) => daemon.child?.kill('SIGKILL'));
    await Promise.all(this.daemons.map((daemon) => daemon.untilExit()));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Opens a connection, sends bytes, and returns the socket. */
export function openSocket(address) {
  const [host, port] = address.split(':');
  return connect(Number(port), host);
}
