import type { TcpProxy } from '@apricotrill/standins';
import { request } from 'undici';
import type { Subprocess } from './Subprocess.js';

/**
 * A run of a request as the backend server recorded it. Tests compare what callers saw with these
 * records.
 */
export interface Run {
  requestId: string;
  /**
   * Engines: the index of the first token of the run, above 0 when the run resumed an earlier one.
   */
  startIndex?: number;
  /** Engines: the number of computed tokens. */
  tokens?: number;
  /** Services: the Idempotency-Key that the caller sent. */
  idempotencyKey?: string;
  completed: boolean;
}

/** A running stand-in for a backend server. */
export class Backend {
  readonly id: string;

  readonly service: string;

  /** The port in the register. */
  readonly port: number;

  readonly process: Subprocess;

  readonly proxy: TcpProxy | undefined;

  private readonly origin: string;

  /**
   * @param ownPort - the port on which the backend server itself listens, behind its proxy if it
   * has one
   */
  constructor(
    id: string,
    service: string,
    process: Subprocess,
    ownPort: number,
    front?: { port: number; proxy: TcpProxy },
  ) {
    this.id = id;
    this.service = service;
    this.process = process;
    this.port = front?.port ?? ownPort;
    this.proxy = front?.proxy;
    this.origin = `http://127.0.0.1:${ownPort}`;
  }

  /** Injects a fault through `POST /faults` of the stand-in. */
  async injectFault(fault: { kind: string; [key: string]: unknown }): Promise<void> {
    const body = JSON.stringify(fault);
    const response = await request(`${this.origin}/faults`, { method: 'POST', body });
    await response.body.dump();
  }

  async getRuns(): Promise<Run[]> {
    const response = await request(`${this.origin}/runs`);
    const { runs } = (await response.body.json()) as { runs: Run[] };
    return runs;
  }

  /** Polls the runs until they match. */
  async waitForRuns(matches: (runs: Run[]) => boolean): Promise<Run[]> {
    const runs = await this.getRuns();
    return matches(runs) ? runs : this.waitForRuns(matches);
  }
}
