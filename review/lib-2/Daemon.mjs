import { spawn } from 'node:child_process';
import { openSync, readFileSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The command of the role in the deploy file, split at spaces as the platform does. */
const COMMAND = /^run = "(.*)"$/m
  .exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
  .split(' ');

/** Returns ports that are free now, in a row. */
export async function findFreePorts(host, count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 12_000);
    const ports = Array.from({ length: count }, (_, index) => first + index);
    // eslint-disable-next-line no-await-in-loop
    const free = await Promise.all(
      ports.map(
        (port) =>
          new Promise((resolve) => {
            const server = createServer();
            server.once('error', () => resolve(false));
            server.listen(port, host, () => server.close(() => resolve(true)));
          }),
      ),
    );
    if (free.every(Boolean)) {
      return ports;
    }
  }
}

/** A daemon as a process of its own, with the command of the deploy file and settings like those of the pages. */
export class Daemon {
  /** @param settings.storePort - port of the store, or of the link to it */
  constructor({
    name,
    host,
    zone,
    zones,
    storePort,
    bounds,
    limits,
    ports,
    extra = {},
    isFirst = true,
  }) {
    Object.assign(this, { name, host, zone, zones, storePort, bounds, limits, ports, extra });
    this.isFirst = isFirst;
    this.exits = [];
  }

  get settings() {
    const [frontend, readiness, controlPlane] = this.ports.slice(0, 3);
    return {
      nodeName: this.name,
      role: 'relay',
      machineClass: 'edge',
      serves: ['edge'],
      ip: this.host,
      zone: this.zone,
      region: 'tt-south',
      zones: Object.fromEntries(this.zones.map((zone) => [zone, 'tt-south'])),
      listen: {
        frontend: `${this.host}:${frontend}`,
        readiness: `${this.host}:${readiness}`,
        controlPlane: `${this.host}:${controlPlane}`,
      },
      internalPortRange: [this.ports[3], this.ports.at(-1)],
      seedNodes: [],
      bootstrap: this.isFirst,
      inTolerance: false,
      limits: this.limits,
      dataDir: null,
      discovery: 'platform',
      entrypoint: 'vip',
      heartbeatMs: 1_200,
      invariants: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'stream',
        'tenants',
        'platform',
      ],
      faultTolerance: { nodes: 1, zones: 0, regions: 0 },
      bounds: this.bounds,
      platform: {
        address: `127.0.0.1:${this.storePort}`,
        form: 'objects',
        writesPerS: 400,
        readsPerS: 2_000,
        historyS: 20,
        valueBytes: 1_048_576,
        ttlMinMs: 1_000,
      },
      ...this.extra,
    };
  }

  get port() {
    return this.ports[0];
  }

  async start() {
    this.folder ??= await mkdtemp(path.join(tmpdir(), 'review-2-'));
    const file = path.join(this.folder, 'boot.json');
    await writeFile(file, JSON.stringify(this.settings));
    const log = openSync(path.join(this.folder, 'log'), 'a');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(COMMAND[0], COMMAND.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, LANG, APRICOTRILL_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    const { child } = this;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exits.push({ code, signal });
        resolve();
      });
    });
  }

  readLog() {
    return readFileSync(path.join(this.folder, 'log'), 'utf8');
  }

  isReady() {
    return new Promise((resolve) => {
      const call = get(
        {
          host: this.host,
          port: this.ports[1],
          path: '/apricotrill/readyz',
          timeout: 500,
          agent: false,
        },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(false));
    });
  }

  async waitUntilReady(timeout = 15_000) {
    const end = Date.now() + timeout;
    while (Date.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      if (await this.isReady()) {
        return true;
      }
      // eslint-disable-next-line no-await-in-loop
      await sleep(50);
    }
    return false;
  }

  async kill() {
    if (this.child?.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.ended;
    }
  }

  /** Ends the process and removes its files. */
  async dispose() {
    await this.kill();
    if (this.folder !== undefined && process.env.KEEP_LOGS === undefined) {
      await rm(this.folder, { recursive: true, force: true });
    }
  }
}
