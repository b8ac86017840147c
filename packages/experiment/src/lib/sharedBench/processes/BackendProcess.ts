import { request } from 'undici';
import type { EngineRun, ServiceRun } from '@apricotrill/standins';
import { ServiceKind } from '@apricotrill/model';
import { BenchProcess, FleetBinary } from './BenchProcess.js';

/**
 * What ran at a backend server, by its own word.
 *
 * @internal
 */
export type BackendRun = Partial<EngineRun> & Partial<ServiceRun>;

/**
 * Fast enough for a load that is meant to show what restarts do, not what full engines do: a token
 * each 15 ms however many run.
 */
const ENGINE_ARGS = ['--step-base', '15', '--step-per-request', '0'];

/**
 * A stand-in of a backend server as a process.
 *
 * @internal
 */
export class BackendProcess {
  private constructor(
    private readonly process: BenchProcess,
    readonly host: string,
    readonly port: number,
  ) {}

  static async start(kind: ServiceKind, host: string): Promise<BackendProcess> {
    const isEngine = kind === ServiceKind.Model;
    const { process, ports } = await BenchProcess.start(
      isEngine ? FleetBinary.Engine : FleetBinary.Service,
      ['--host', host, '--port', '0', ...(isEngine ? ENGINE_ARGS : [])],
    );
    return new BackendProcess(process, host, ports.port!);
  }

  async getRuns(): Promise<BackendRun[]> {
    const { body } = await request(`http://${this.host}:${this.port}/runs`);
    const { runs } = (await body.json()) as { runs: BackendRun[] };
    return runs;
  }

  async dispose(): Promise<void> {
    await this.process.kill();
  }
}
