import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { getFreePort } from './getFreePort.js';
import { Binary, Subprocess } from './Subprocess.js';

/** The key of the only workspace. */
export const API_KEY = 'key-of-painotalo';

export const MODEL = 'kieli';

/** A running stand-in of a backend server. */
export interface Backend {
  id: string;
  service: string;
  port: number;
  process: Subprocess;
}

/** A running daemon. */
export interface Daemon {
  id: string;
  port: number;
  adminPort: number;
  process: Subprocess;
}

/** The classes of the tests: an urgent check, a hold, a question and a draft. */
const RULES = {
  classes: [
    { name: 'check', tier: 0, target: { firstToken: 500 }, deadline: 5000, repeatable: true },
    { name: 'hold', tier: 0, target: { firstToken: 500 }, deadline: 5000, repeatable: false },
    {
      name: 'question',
      tier: 2,
      target: { firstToken: 2000, tokenGap: 500 },
      deadline: 20000,
      repeatable: true,
    },
    {
      name: 'draft',
      tier: 4,
      target: { firstToken: 5000, tokenGap: 1000 },
      deadline: 60000,
      floor: 0.1,
      preemptible: true,
      repeatable: true,
    },
  ],
  classRules: [
    { service: 'portal', method: 'GET', class: 'check' },
    { service: 'portal', class: 'hold' },
    { service: 'engines', maxTokensAtMost: 50, class: 'question' },
    { service: 'engines', class: 'draft' },
  ],
};

/**
 * Backend servers and daemons as separate processes, with the files they read. Everything it
 * started ends with {@link Deployment.dispose}.
 */
export class Deployment {
  readonly backends: Backend[] = [];

  readonly daemons: Daemon[] = [];

  private readonly processes: Subprocess[] = [];

  private directory = '';

  async prepare(): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'apricotrill-'));
  }

  /** Starts an engine (service `engines`) or a plain service (service `portal`). */
  async startBackend(service: 'engines' | 'portal', args: string[] = []): Promise<Backend> {
    const binary = service === 'engines' ? Binary.Engine : Binary.Service;
    const id = `${service}-${this.backends.length + 1}`;
    const process = this.start(binary, ['--port', '0', ...args]);
    const { port } = await process.getListening();
    const backend = { id, service, port: port!, process };
    this.backends.push(backend);
    return backend;
  }

  /** Starts a daemon that runs alone on the files. */
  async startLoneDaemon(): Promise<Daemon> {
    const register = await this.write('register.jsonc', this.getRegister());
    const rules = await this.write('rules.jsonc', RULES);
    const id = `daemon-${this.daemons.length + 1}`;
    const settings = await this.write(`${id}.jsonc`, {
      id,
      region: 'etela-suomi',
      availabilityZone: 'espoo',
      host: '127.0.0.1',
      port: 0,
      adminPort: 0,
      meshPort: await getFreePort(),
      platformUrl: 'http://127.0.0.1:1',
    });
    const args = ['--settings', settings, '--register', register, '--rules', rules];
    const process = this.start(Binary.Router, args);
    const { port, adminPort } = await process.getListening();
    const daemon = { id, port: port!, adminPort: adminPort!, process };
    this.daemons.push(daemon);
    return daemon;
  }

  /** The register of everything that was started. */
  getRegister() {
    return {
      services: [
        { name: 'engines', kind: 'model', region: 'etela-suomi', models: [MODEL] },
        { name: 'portal', kind: 'plain', region: 'etela-suomi' },
      ],
      replicas: this.backends.map(({ id, service, port }) => ({
        id,
        service,
        availabilityZone: 'espoo',
        host: '127.0.0.1',
        port,
        slots: 4,
      })),
      workspaces: [
        { name: 'painotalo', apiKeyHashes: [createHash('sha256').update(API_KEY).digest('hex')] },
      ],
    };
  }

  async dispose(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.dispose()));
    await rm(this.directory, { recursive: true, force: true });
  }

  private start(binary: Binary, args: string[]): Subprocess {
    const process = new Subprocess(binary, args);
    this.processes.push(process);
    return process;
  }

  private async write(name: string, value: unknown): Promise<string> {
    const path = join(this.directory, name);
    await writeFile(path, JSON.stringify(value, undefined, 2));
    return path;
  }
}
