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

/** The availability zones to which daemons are assigned in turn. */
const ZONES = ['helsinki-a', 'helsinki-b', 'espoo'];

type Register = ReturnType<Deployment['getRegister']>;

/** The contents of the operators' two configuration files. */
export interface ConfigurationFiles {
  register: Register;
  rules: typeof RULES;
}

/** Options of one daemon of a fleet. */
export interface FleetDaemonOptions {
  meshPort?: number;
  /** The mesh port announced to peers, if it differs from the one on which the daemon listens. */
  announcedMeshPort?: number;
  /** Mesh ports of the daemons to contact first. Default: all daemons of the fleet. */
  seeds?: number[];
}

/** Creates the entry of a daemon in the platform's instance list. */
function createInstance({ id, availabilityZone }: FleetDaemon, port: number): Instance {
  const role = InstanceRole.Daemon;
  const state = InstanceState.Live;
  return { id, role, state, availabilityZone, host: '127.0.0.1', port };
}

function isLeaseGained({ kind, service }: Decision, wanted: string): boolean {
  return kind === 'lease-gained' && service === wanted;
}

/**
 * Router daemons in several availability zones as separate processes, which find each other through
 * the platform's stand-in and their peers. Their configuration is applied with the operators' command
 * line. {@link Fleet.dispose} ends every process that was started.
 */
export class Fleet {
  /** The backend servers. */
  readonly backends = new Deployment();

  readonly daemons: FleetDaemon[] = [];

  /** Daemons that were killed and removed from the platform's list. */
  private readonly removedDaemons: FleetDaemon[] = [];

  private platformProcess: PlatformProcess | undefined;

  private directory = '';

  private fileCount = 0;

  private daemonCount = 0;

  get platform(): PlatformProcess {
    return this.platformProcess!;
  }

  /** Starts the platform's stand-in. */
  async prepare(platformArgs: string[] = ['--list-lag', '500']): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'apricotrill-fleet-'));
    await this.backends.prepare();
    this.platformProcess = await PlatformProcess.start(platformArgs);
  }

  /** Applies the first configuration and starts daemons. Resolves when every daemon has joined. */
  async start(count: number): Promise<void> {
    await this.apply(0);
    const meshPorts = await reservePorts(count);
    for (const meshPort of meshPorts) {
      const seeds = meshPorts.filter((port) => port !== meshPort);
      // Sequential, so that daemons are numbered in the order of the list.
      // eslint-disable-next-line no-await-in-loop
      await this.addDaemon({ meshPort, seeds });
    }
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    await this.waitUntilJoined();
  }

  /** Adds a daemon to the fleet and to the platform's instance list without starting it. */
  async addDaemon(options: FleetDaemonOptions = {}): Promise<FleetDaemon> {
    this.daemonCount += 1;
    const id = `daemon-${this.daemonCount}`;
    const zone = ZONES[(this.daemonCount - 1) % ZONES.length]!;
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
    const announceArgs =
      announced === undefined ? [] : ['--announced-mesh-port', String(announced)];
    const daemon = new FleetDaemon(id, zone, meshPort, ['--settings', settings, ...announceArgs]);
    this.daemons.push(daemon);
    await this.platform.putInstance(createInstance(daemon, announced ?? meshPort));
    return daemon;
  }

  /**
   * Kills a daemon and removes it from the platform's instance list, which shows the removal with
   * its lag.
   */
  async killAndRemove(daemon: FleetDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    this.removedDaemons.push(daemon);
    await daemon.kill();
    await this.platform.deleteInstance(daemon.id);
  }

  /** Waits until every daemon is ready and sees all others as alive. */
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

  /**
   * Waits until a daemon gains the lease on a service's engines.
   *
   * @returns the first that gained it
   */
  async waitForHolder(service = 'engines'): Promise<FleetDaemon> {
    const gains = this.daemons.map(async (daemon) => {
      await daemon.waitForDecision('placement', (decision) => isLeaseGained(decision, service));
      return daemon;
    });
    return Promise.race(gains);
  }

  /** Returns the operators' configuration files for all backend servers added so far. */
  getFiles(): ConfigurationFiles {
    return structuredClone({ register: this.backends.getRegister(), rules: RULES });
  }

  /**
   * Writes the operators' two configuration files.
   *
   * @returns the command-line arguments that name them
   */
  async writeFiles({ register, rules }: ConfigurationFiles): Promise<string[]> {
    return [
      '--register',
      await this.write('register', register),
      '--rules',
      await this.write('rules', rules),
    ];
  }

  /** Runs a command of the operators' command line against the platform. */
  runCommand(command: string, ...args: string[]): Promise<OperatorResult> {
    return runOperator([command, '--platform', this.platform.url, ...args]);
  }

  /**
   * Applies an edit of the configuration files on a base.
   *
   * @returns the new generation.
   * @throws if the edit is not accepted
   */
  async apply(
    base: number,
    edit: (files: ConfigurationFiles) => void = () => undefined,
  ): Promise<number> {
    const files = this.getFiles();
    edit(files);
    const fileArgs = await this.writeFiles(files);
    const result = await this.runCommand('apply', '--base', String(base), ...fileArgs);
    if (result.code !== 0) {
      throw new Error(`apply: ${result.code}\n${result.output}${result.errors.join('\n')}`);
    }
    return base + 1;
  }

  /** Returns the admin addresses of the daemons as command-line options. */
  getDaemonOptions(daemons: readonly FleetDaemon[] = this.daemons): string[] {
    return daemons.flatMap(({ adminPort }) => ['--daemon', `127.0.0.1:${adminPort}`]);
  }

  /**
   * Checks everything that callers, backend servers and logs recorded so far.
   *
   * @returns the violations
   */
  async checkHistory(calls: readonly RecordedCall[]): Promise<string[]> {
    const runs = await Promise.all(this.backends.backends.map((backend) => backend.getRuns()));
    const versions = [...this.daemons, ...this.removedDaemons].map(({ id, processes }) => ({
      daemon: id,
      generations: processes.flatMap(({ log }) =>
        getGenerations(getDecisions(log, 'configuration')),
      ),
    }));
    return checkHistory({ calls, runs: runs.flat(), versions });
  }

  /** Sets the entry of a backend server in the platform's instance list. */
  async putBackendInstance(id: string, state: InstanceState): Promise<void> {
    const { replicas } = this.backends.getRegister();
    const { availabilityZone, host, port } = replicas.find((replica) => replica.id === id)!;
    const role = InstanceRole.BackendServer;
    await this.platform.putInstance({ id, role, state, availabilityZone, host, port });
  }

  /**
   * Ends all processes. If `FLEET_LOGS` names a folder, the daemons' logs are saved there, since a
   * failure that does not recur can only be traced from the logs of its run.
   */
  async dispose(): Promise<void> {
    await Promise.all([...this.daemons, ...this.removedDaemons].map((daemon) => daemon.dispose()));
    await this.saveLogs(process.env.FLEET_LOGS);
    await this.platformProcess?.process.dispose();
    await this.backends.dispose();
    await rm(this.directory, { recursive: true, force: true });
  }

  private async saveLogs(folder: string | undefined): Promise<void> {
    if (folder === undefined) {
      return;
    }
    await mkdir(folder, { recursive: true });
    const logs = [...this.daemons, ...this.removedDaemons].map(({ id, processes }) => ({
      id,
      lines: processes.flatMap(({ log }) => log.lines),
    }));
    await Promise.all(
      logs.map(({ id, lines }) => writeFile(join(folder, `${id}.log`), lines.join('\n'))),
    );
  }

  private async write(name: string, value: unknown): Promise<string> {
    this.fileCount += 1;
    const path = join(this.directory, `${name}-${this.fileCount}.jsonc`);
    await writeFile(path, JSON.stringify(value, undefined, 2));
    return path;
  }
}
