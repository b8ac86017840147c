import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { getApiKeyHash } from '@apricotrill/model';
import { Binary, StartedProcess } from './StartedProcess.js';
import type { ChatTarget } from './streamChat.js';

const HOST = '127.0.0.1';

function getApiKey(workspace: number): string {
  return `bench-${workspace}`;
}

const ZONE = { region: 'bench', availabilityZone: 'bench-a' };

/** Engines that carry the load; each runs 512 streams at 20 ms a token. */
const LOAD_ENGINES = 2;

const LOAD_SLOTS = 512;

/** The two models: one carries the load, the other's engine is quick and idle, for latency. */
export enum BenchModel {
  Load = 'load',
  Probe = 'probe',
}

const RULES = {
  classes: [
    {
      name: 'chat',
      tier: 2,
      target: { firstToken: 2000, tokenGap: 200 },
      deadline: 30_000,
      floor: 0.1,
      repeatable: true,
    },
  ],
  classRules: [BenchModel.Load, BenchModel.Probe].map((service) => ({ service, class: 'chat' })),
};

/**
 * One daemon and three engines as processes: what the benchmarks measure.
 *
 * @internal
 */
export class Bench {
  private constructor(
    readonly daemon: StartedProcess,
    private readonly engines: StartedProcess[],
    private readonly directory: string,
  ) {}

  /** @param workspaces - how many there are, each with a key of its own */
  static async start(workspaces = 1): Promise<Bench> {
    const directory = await mkdtemp(path.join(tmpdir(), 'apricotrill-bench-'));
    const loadArgs = ['--slots', `${LOAD_SLOTS}`, '--step-base', '20', '--step-per-request', '0'];
    const probeArgs = ['--slots', '64', '--step-base', '1', '--step-per-request', '0'];
    const engines = await Promise.all([
      ...Array.from({ length: LOAD_ENGINES }, () => StartedProcess.start(Binary.Engine, loadArgs)),
      StartedProcess.start(Binary.Engine, probeArgs),
    ]);
    const files = {
      'register.jsonc': Bench.createRegister(engines, workspaces),
      'rules.jsonc': RULES,
      'settings.jsonc': {
        id: 'bench-daemon',
        ...ZONE,
        host: HOST,
        port: 0,
        adminPort: 0,
        meshPort: 0,
        platformUrl: `http://${HOST}:1`,
      },
    };
    await Promise.all(
      Object.entries(files).map(([name, value]) =>
        writeFile(path.join(directory, name), JSON.stringify(value)),
      ),
    );
    const args = Object.keys(files).flatMap((name) => [
      `--${path.basename(name, '.jsonc')}`,
      path.join(directory, name),
    ]);
    const daemon = await StartedProcess.start(Binary.Router, args);
    return new Bench(daemon, engines, directory);
  }

  /** Where callers of a workspace ask the daemon. */
  getDaemonTarget(model: BenchModel, workspace = 0): ChatTarget {
    const origin = `http://${HOST}:${this.daemon.ports.port}`;
    return { origin, apiKey: getApiKey(workspace), model };
  }

  /** Where the daemon shows its metrics. */
  get adminOrigin(): string {
    return `http://${HOST}:${this.daemon.ports.adminPort}`;
  }

  /** The engines of a model, asked without the daemon. */
  getDirectTargets(model: BenchModel): ChatTarget[] {
    return this.engines
      .filter((_, index) => Bench.getModel(index) === model)
      .map(({ ports }) => ({ origin: `http://${HOST}:${ports.port}`, apiKey: 'none', model }));
  }

  async dispose(): Promise<void> {
    await Promise.all([this.daemon, ...this.engines].map((process) => process.stop()));
    await rm(this.directory, { recursive: true });
  }

  private static getModel(engineIndex: number): BenchModel {
    return engineIndex < LOAD_ENGINES ? BenchModel.Load : BenchModel.Probe;
  }

  private static createRegister(engines: StartedProcess[], workspaces: number) {
    return {
      services: [BenchModel.Load, BenchModel.Probe].map((model) => ({
        name: model,
        kind: 'model',
        region: ZONE.region,
        models: [model],
      })),
      replicas: engines.map(({ ports }, index) => ({
        id: `engine-${index}`,
        service: Bench.getModel(index),
        availabilityZone: ZONE.availabilityZone,
        host: HOST,
        port: ports.port,
        slots: LOAD_SLOTS,
      })),
      workspaces: Array.from({ length: workspaces }, (_, index) => ({
        name: `bench-${index}`,
        weight: 1,
        apiKeyHashes: [getApiKeyHash(getApiKey(index))],
      })),
    };
  }
}
