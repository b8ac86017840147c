import { TcpProxy } from '@apricotrill/standins';
import type { CallerLimits } from '@apricotrill/model';
import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Backend } from './Backend.js';
import { Binary, Subprocess } from './Subprocess.js';

/** The API key of the only workspace. */
export const API_KEY = 'key-of-painotalo';

export const MODEL = 'kieli';

/** A running daemon. */
export interface Daemon {
  id: string;
  port: number;
  adminPort: number;
  process: Subprocess;
}

interface Address {
  id: string;
  service: string;
  port: number;
}

/** Returns a daemon's settings, with ports that the operating system assigns. */
export function getSettings(id: string, limits: Partial<CallerLimits> = {}) {
  return {
    id,
    region: 'etela-suomi',
    availabilityZone: 'espoo',
    host: '127.0.0.1',
    port: 0,
    adminPort: 0,
    meshPort: 0,
    platformUrl: 'http://127.0.0.1:1',
    limits,
  };
}

/**
 * The request classes of the tests: an urgent check, a hold, a question and a draft, and the `hasty`
 * classes with short targets for tests in which a connection or a backend server stops responding.
 */
export const RULES = {
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
    { name: 'hasty', tier: 1, target: { firstToken: 200 }, deadline: 20000, repeatable: true },
    { name: 'hasty-hold', tier: 0, target: { firstToken: 200 }, deadline: 1000 },
  ],
  classRules: [
    { service: 'portal', wishedClass: 'hasty', class: 'hasty' },
    { service: 'portal', wishedClass: 'hasty-hold', class: 'hasty-hold' },
    { service: 'engines', wishedClass: 'hasty', class: 'hasty' },
    { service: 'portal', method: 'GET', class: 'check' },
    { service: 'portal', class: 'hold' },
    { service: 'engines', maxTokensAtMost: 50, class: 'question' },
    { service: 'engines', class: 'draft' },
  ],
};

/**
 * Backend servers and daemons as separate processes, with their configuration files.
 * {@link Deployment.dispose} ends every process that was started.
 */
export class Deployment {
  readonly backends: Backend[] = [];

  readonly daemons: Daemon[] = [];

  private readonly processes: Subprocess[] = [];

  private readonly proxies: TcpProxy[] = [];

  /** Backend servers that the test itself runs. */
  private readonly externalBackends: Address[] = [];

  private standinCount = 0;

  private directory = '';

  async prepare(): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'apricotrill-'));
  }

  /** Starts an engine (service `engines`) or a plain service (service `portal`). */
  async startBackend(service: 'engines' | 'portal', args: string[] = []): Promise<Backend> {
    const { id, process, port } = await this.startStandin(service, args);
    const backend = new Backend(id, service, process, port);
    this.backends.push(backend);
    return backend;
  }

  /** Starts a backend server behind a TCP proxy that can silence its connections. */
  async startProxiedBackend(
    service: 'engines' | 'portal',
    args: string[] = [],
  ): Promise<Backend & { proxy: TcpProxy }> {
    const { id, process, port } = await this.startStandin(service, args);
    const proxy = new TcpProxy(port);
    this.proxies.push(proxy);
    const front = { port: await proxy.listen(), proxy };
    const backend = new Backend(id, service, process, port, front);
    this.backends.push(backend);
    return Object.assign(backend, { proxy });
  }

  /** Adds a backend server that the test itself runs to the register. */
  registerExternalBackend(service: 'engines' | 'portal', port: number): void {
    this.externalBackends.push({ id: `own-${this.externalBackends.length + 1}`, service, port });
  }

  /** Starts a daemon without peers or platform, configured from files. */
  async startStandaloneDaemon(limits: Partial<CallerLimits> = {}): Promise<Daemon> {
    const register = await this.write('register.jsonc', this.getRegister());
    const rules = await this.write('rules.jsonc', RULES);
    const id = `daemon-${this.daemons.length + 1}`;
    const settings = await this.write(`${id}.jsonc`, getSettings(id, limits));
    const args = ['--settings', settings, '--register', register, '--rules', rules];
    const process = this.start(Binary.Router, args);
    const { port, adminPort } = await process.getListening();
    const daemon = { id, port: port!, adminPort: adminPort!, process };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Returns the register with all backend servers added so far. */
  getRegister() {
    return {
      services: [
        { name: 'engines', kind: 'model', region: 'etela-suomi', models: [MODEL] },
        { name: 'portal', kind: 'plain', region: 'etela-suomi' },
      ],
      replicas: [...this.backends, ...this.externalBackends].map(({ id, service, port }) => ({
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
    this.proxies.forEach((proxy) => proxy.dispose());
    await Promise.all(this.processes.map((process) => process.dispose()));
    await rm(this.directory, { recursive: true, force: true });
  }

  private async startStandin(service: 'engines' | 'portal', args: string[]) {
    const binary = service === 'engines' ? Binary.Engine : Binary.Service;
    this.standinCount += 1;
    const id = `${service}-${this.standinCount}`;
    const process = this.start(binary, ['--port', '0', ...args]);
    const { port } = await process.getListening();
    return { id, process, port: port! };
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
