import { Agent, request } from 'undici';
import type { Decision } from './decisions.js';
import { getDecisions, waitForDecision } from './decisions.js';
import { pollUntil } from './pollUntil.js';
import { Binary, Subprocess } from './Subprocess.js';

/** A member of the mesh in a daemon's admin interface. */
export interface MemberStatus {
  id: string;
  state: string;
  generation: number;
}

/** A daemon's status in its admin interface. */
export interface DaemonStatus {
  generation: number;
  inFlight: number;
}

const STATUS_TIMEOUT_MS = 1000;

/** A router daemon that tests stop, kill, freeze and restart as a process. */
export class FleetDaemon {
  /** All processes that ran under this id, newest last. */
  readonly processes: Subprocess[] = [];

  port = 0;

  adminPort = 0;

  /**
   * Separate connections with a timeout, so that a frozen process cannot block readiness and status
   * requests.
   */
  private readonly agent = new Agent({ connections: 4, headersTimeout: STATUS_TIMEOUT_MS });

  constructor(
    readonly id: string,
    readonly availabilityZone: string,
    readonly meshPort: number,
    readonly args: string[],
  ) {}

  get process(): Subprocess {
    return this.processes.at(-1)!;
  }

  /** Starts a process and waits until it listens. */
  async start(): Promise<void> {
    const process = new Subprocess(Binary.Router, this.args);
    this.processes.push(process);
    const { port, adminPort } = await process.getListening();
    this.port = port!;
    this.adminPort = adminPort!;
  }

  /** Shuts the daemon down gracefully. @returns the exit code */
  async stop(): Promise<number | string> {
    this.process.signal('SIGTERM');
    return this.process.exited;
  }

  /** Kills the process without a shutdown, as in a crash. */
  async kill(): Promise<void> {
    this.process.signal('SIGKILL');
    await this.process.exited;
  }

  freeze(): void {
    this.process.signal('SIGSTOP');
  }

  resume(): void {
    this.process.signal('SIGCONT');
  }

  /** Queries the readiness endpoint that the load balancer uses. */
  async isReady(): Promise<boolean> {
    try {
      const response = await this.requestAdmin('/ready');
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(): Promise<void> {
    await pollUntil(
      () => this.isReady(),
      (isReady) => isReady,
    );
  }

  async getStatus(): Promise<DaemonStatus> {
    const response = await this.requestAdmin('/admin/status');
    return (await response.body.json()) as DaemonStatus;
  }

  async getMembers(): Promise<MemberStatus[]> {
    const response = await this.requestAdmin('/admin/members');
    const { members } = (await response.body.json()) as { members: MemberStatus[] };
    return members;
  }

  async waitForMembers(matches: (members: MemberStatus[]) => boolean): Promise<MemberStatus[]> {
    return pollUntil(() => this.getMembers(), matches);
  }

  /** Waits until the running process has put this generation or a later one into force. */
  async waitForGeneration(generation: number): Promise<void> {
    await waitForDecision(
      this.process.log,
      'configuration',
      (decision) => decision.event === 'in-force' && Number(decision.generation) >= generation,
    );
  }

  /** Returns the decisions that the running process has logged so far. */
  getDecisions(step: string): Decision[] {
    return getDecisions(this.process.log, step);
  }

  /** Waits for a matching decision in the running process's log, past or future. */
  waitForDecision(step: string, matches?: (decision: Decision) => boolean): Promise<Decision> {
    return waitForDecision(this.process.log, step, matches);
  }

  async dispose(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.dispose()));
    await this.agent.destroy();
  }

  private requestAdmin(path: string) {
    return request(`http://127.0.0.1:${this.adminPort}${path}`, { dispatcher: this.agent });
  }
}
