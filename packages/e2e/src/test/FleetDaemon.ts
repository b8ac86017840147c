import { Agent, request } from 'undici';
import type { Decision } from './decisions.js';
import { getDecisions, waitForDecision } from './decisions.js';
import { pollUntil } from './pollUntil.js';
import { Binary, Subprocess } from './Subprocess.js';

/** What a daemon shows of a member. */
export interface SeenMember {
  id: string;
  state: string;
  generation: number;
}

/** What a daemon shows of itself. */
export interface DaemonStatus {
  generation: number;
  inFlight: number;
}

const STATUS_TIMEOUT = 1000;

/** A router daemon as a process, which tests stop, kill, freeze and start again. */
export class FleetDaemon {
  /** Every process that ran under this id, the newest last. */
  readonly processes: Subprocess[] = [];

  port = 0;

  adminPort = 0;

  /** Readiness and status are asked for on connections that no frozen process can hold up. */
  private readonly agent = new Agent({ connections: 4, headersTimeout: STATUS_TIMEOUT });

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

  /** Shuts it down gracefully. @returns the exit code */
  async stop(): Promise<number | string> {
    this.process.signal('SIGTERM');
    return this.process.exited;
  }

  /** Ends it as a crash does. */
  async kill(): Promise<void> {
    this.process.signal('SIGKILL');
    await this.process.exited;
  }

  freeze(): void {
    this.process.signal('SIGSTOP');
  }

  wake(): void {
    this.process.signal('SIGCONT');
  }

  /** What the balancer asks. */
  async isReady(): Promise<boolean> {
    try {
      const response = await this.ask('/ready');
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
    const response = await this.ask('/admin/status');
    return (await response.body.json()) as DaemonStatus;
  }

  async getMembers(): Promise<SeenMember[]> {
    const response = await this.ask('/admin/members');
    const { members } = (await response.body.json()) as { members: SeenMember[] };
    return members;
  }

  async waitForMembers(areThey: (members: SeenMember[]) => boolean): Promise<SeenMember[]> {
    return pollUntil(() => this.getMembers(), areThey);
  }

  /** Waits until the running process has put this generation, or a higher one, in force. */
  async waitForGeneration(generation: number): Promise<void> {
    await waitForDecision(
      this.process.log,
      'configuration',
      (decision) => decision.event === 'in-force' && Number(decision.generation) >= generation,
    );
  }

  /** The decisions of the running process so far. */
  getDecisions(step: string): Decision[] {
    return getDecisions(this.process.log, step);
  }

  /** Waits for a decision of the running process that has come or will come. */
  waitForDecision(step: string, isIt?: (decision: Decision) => boolean): Promise<Decision> {
    return waitForDecision(this.process.log, step, isIt);
  }

  async dispose(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.dispose()));
    await this.agent.destroy();
  }

  private ask(path: string) {
    return request(`http://127.0.0.1:${this.adminPort}${path}`, { dispatcher: this.agent });
  }
}
