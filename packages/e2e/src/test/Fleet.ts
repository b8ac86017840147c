import { reservePorts } from '@apricotrill/standins';
import type { Instance } from '@apricotrill/store';
import { InstanceRole, InstanceState } from '@apricotrill/store';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { getDecisions } from './decisions.js';
import type { Decision } from './decisions.js';
import { Deployment, RULES } from './Deployment.js';
import { FleetDaemon } from './FleetDaemon.js';
import { checkHistory, getGenerations } from './history.js';
import type { RecordedCall } from './history.js';
import { PlatformProcess } from './PlatformProcess.js';
import type { OperatorResult } from './runOperator.js';
import { runOperator } from './runOperator.js';

const REGION = 'etela-suomi';

/** The availability zones, which daemons are dealt out to in turn. */
const ZONES = ['helsinki-a', 'helsinki-b', 'espoo'];

type Register = ReturnType<Deployment['getRegister']>;

/** The operators' two files. */
export interface Files {
  register: Register;
  rules: typeof RULES;
}

/** How a daemon of a fleet differs from the others. */
export interface FleetDaemonOptions {
  meshPort?: number;
  /** Where the others reach its mesh, when that is not where it listens. */
  announcedMeshPort?: number;
  /** Mesh ports of the daemons it asks first; all of the fleet when absent. */
  seeds?: number[];
}

/** A daemon as the platform lists it. */
function getInstance({ id, availabilityZone }: FleetDaemon, port: number): Instance {
  const role = InstanceRole.Daemon;
  const state = InstanceState.Live;
  return { id, role, state, availabilityZone, host: '127.0.0.1', port };
}

function isGain({ kind, service }: Decision, wanted: string): boolean {
  return kind === 'lease-gained' && service === wanted;
}

/**
 * Router daemons in several availability zones as separate processes, joined by the platform's
 * stand-in and by each other, with the configuration that the operators' command line applied.
 * Everything it started ends with {@link Fleet.dispose}.
 */
export class Fleet {
  /** The backend servers. */
  readonly backends = new Deployment();

  readonly daemons: FleetDaemon[] = [];

  /** Daemons that were killed and will not come back. */
  private readonly lost: FleetDaemon[] = [];

  private platformProcess: PlatformProcess | undefined;

  private directory = '';

  private written = 0;

  private lastDaemon = 0;

  get platform(): PlatformProcess {
    return this.platformProcess!;
  }

  /** Starts the platform's stand-in. */
  async prepare(platformArgs: string[] = ['--list-lag', '500']): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'apricotrill-fleet-'));
    await this.backends.prepare();
    this.platformProcess = await PlatformProcess.start(platformArgs);
  }

  /** Applies the first configuration and starts daemons; resolves when all know each other. */
  async start(count: number): Promise<void> {
    await this.apply(0);
    const meshPorts = await reservePorts(count);
    for (const meshPort of meshPorts) {
      const seeds = meshPorts.filter((port) => port !== meshPort);
      // One after the other, so that they are numbered in the order of the list.
      // eslint-disable-next-line no-await-in-loop
      await this.addDaemon({ meshPort, seeds });
    }
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    await this.waitUntilJoined();
  }

  /** Adds a daemon to the fleet and to the platform's list, without starting it. */
  async addDaemon(options: FleetDaemonOptions = {}): Promise<FleetDaemon> {
    this.lastDaemon += 1;
    const id = `daemon-${this.lastDaemon}`;
    const zone = ZONES[(this.lastDaemon - 1) % ZONES.length]!;
    const seeds = options.seeds ?? this.daemons.map((daemon) => daemon.meshPort);
    const meshPort = options.meshPort ?? (await reservePorts(1))[0]!;
    const settings = await this.write(id, {
      id,
      region: REGION,
      availabilityZone: zone,
      host: '127.0.0.1',
      port: 0,
      adminPort: 0,
      meshPort,
      platformUrl: this.platform.url,
      seeds: seeds.map((port) => ({ host: '127.0.0.1', port })),
    });
    const announced = options.announcedMeshPort;
    const announcing = announced === undefined ? [] : ['--announced-mesh-port', String(announced)];
    const daemon = new FleetDaemon(id, zone, meshPort, ['--settings', settings, ...announcing]);
    this.daemons.push(daemon);
    await this.platform.putInstance(getInstance(daemon, announced ?? meshPort));
    return daemon;
  }

  /** Kills a daemon for good; the platform's list drops it with its lag. */
  async lose(daemon: FleetDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    this.lost.push(daemon);
    await daemon.kill();
    await this.platform.deleteInstance(daemon.id);
  }

  /** Waits until every daemon is ready and knows all the others as alive. */
  async waitUntilJoined(): Promise<void> {
    const { daemons } = this;
    await Promise.all(
      daemons.map(async (daemon) => {
        await daemon.waitUntilReady();
        await daemon.waitForMembers(
          (members) => members.filter(({ state }) => state === 'alive').length === daemons.length,
        );
      }),
    );
  }

  /** Waits until a daemon holds the lease on a service's engines. @returns the first that did */
  async waitForHolder(service = 'engines'): Promise<FleetDaemon> {
    const gains = this.daemons.map(async (daemon) => {
      await daemon.waitForDecision('placement', (decision) => isGain(decision, service));
      return daemon;
    });
    return Promise.race(gains);
  }

  /** The operators' files, as everything that was started wants them. */
  getFiles(): Files {
    return structuredClone({ register: this.backends.getRegister(), rules: RULES });
  }

  /** Writes the operators' two files. @returns the arguments that name them */
  async writeFiles({ register, rules }: Files): Promise<string[]> {
    return [
      '--register',
      await this.write('register', register),
      '--rules',
      await this.write('rules', rules),
    ];
  }

  /** Runs a command of the operators that asks the platform. */
  operate(command: string, ...args: string[]): Promise<OperatorResult> {
    return runOperator([command, '--platform', this.platform.url, ...args]);
  }

  /** Has an edit of the files accepted on a base. @throws when it is not accepted */
  async apply(base: number, edit: (files: Files) => void = () => undefined): Promise<number> {
    const files = this.getFiles();
    edit(files);
    const named = await this.writeFiles(files);
    const result = await this.operate('apply', '--base', String(base), ...named);
    if (result.code !== 0) {
      throw new Error(`apply: ${result.code}\n${result.output}${result.errors.join('\n')}`);
    }
    return base + 1;
  }

  /** The admin addresses of the daemons, as options of the command line. */
  getDaemonOptions(daemons: readonly FleetDaemon[] = this.daemons): string[] {
    return daemons.flatMap(({ adminPort }) => ['--daemon', `127.0.0.1:${adminPort}`]);
  }

  /** What was violated so far, by what callers, backend servers and logs say. */
  async checkHistory(calls: readonly RecordedCall[]): Promise<string[]> {
    const runs = await Promise.all(this.backends.backends.map((backend) => backend.getRuns()));
    const versions = [...this.daemons, ...this.lost].map(({ id, processes }) => ({
      daemon: id,
      generations: processes.flatMap(({ log }) =>
        getGenerations(getDecisions(log, 'configuration')),
      ),
    }));
    return checkHistory({ calls, runs: runs.flat(), versions });
  }

  /** A backend server as the platform lists it. */
  async listBackend(id: string, state: InstanceState): Promise<void> {
    const { replicas } = this.backends.getRegister();
    const { availabilityZone, host, port } = replicas.find((replica) => replica.id === id)!;
    const role = InstanceRole.BackendServer;
    await this.platform.putInstance({ id, role, state, availabilityZone, host, port });
  }

  /**
   * Ends all. With `FLEET_LOGS` set to a folder, what the daemons logged is kept there: what a run
   * shows only once can be traced no other way.
   */
  async dispose(): Promise<void> {
    await Promise.all([...this.daemons, ...this.lost].map((daemon) => daemon.dispose()));
    await this.keepLogs(process.env.FLEET_LOGS);
    await this.platformProcess?.process.dispose();
    await this.backends.dispose();
    await rm(this.directory, { recursive: true, force: true });
  }

  private async keepLogs(folder: string | undefined): Promise<void> {
    if (folder === undefined) {
      return;
    }
    await mkdir(folder, { recursive: true });
    const logs = [...this.daemons, ...this.lost].map(({ id, processes }) => ({
      id,
      lines: processes.flatMap(({ log }) => log.lines),
    }));
    await Promise.all(
      logs.map(({ id, lines }) => writeFile(join(folder, `${id}.log`), lines.join('\n'))),
    );
  }

  private async write(name: string, value: unknown): Promise<string> {
    this.written += 1;
    const path = join(this.directory, `${name}-${this.written}.jsonc`);
    await writeFile(path, JSON.stringify(value, undefined, 2));
    return path;
  }
}
