import type { TcpProxy } from '@apricotrill/standins';
import { request } from 'undici';
import type { Subprocess } from './Subprocess.js';

/** What ran at a backend server, by its own word: the oracle of the tests. */
export interface Run {
  requestId: string;
  /** Engines: the first token of the run, above 0 when it was resumed. */
  startIndex?: number;
  /** Engines: the tokens it computed. */
  tokens?: number;
  /** Services: the key its caller gave. */
  idempotencyKey?: string;
  completed: boolean;
}

/** A running stand-in of a backend server. */
export class Backend {
  readonly id: string;

  readonly service: string;

  /** The port the register names. */
  readonly port: number;

  readonly process: Subprocess;

  readonly relay: TcpProxy | undefined;

  private readonly origin: string;

  /** @param ownPort - where the backend server itself listens, behind any relay */
  constructor(
    id: string,
    service: string,
    process: Subprocess,
    ownPort: number,
    front?: { port: number; relay: TcpProxy },
  ) {
    this.id = id;
    this.service = service;
    this.process = process;
    this.port = front?.port ?? ownPort;
    this.relay = front?.relay;
    this.origin = `http://127.0.0.1:${ownPort}`;
  }

  /** Makes it fail as `POST /faults` of the stand-ins describes. */
  async fail(fault: { kind: string; [key: string]: unknown }): Promise<void> {
    const body = JSON.stringify(fault);
    const response = await request(`${this.origin}/faults`, { method: 'POST', body });
    await response.body.dump();
  }

  async getRuns(): Promise<Run[]> {
    const response = await request(`${this.origin}/runs`);
    const { runs } = (await response.body.json()) as { runs: Run[] };
    return runs;
  }

  /** Asks for the runs until they are as wanted. */
  async waitForRuns(areThey: (runs: Run[]) => boolean): Promise<Run[]> {
    const runs = await this.getRuns();
    return areThey(runs) ? runs : this.waitForRuns(areThey);
  }
}
