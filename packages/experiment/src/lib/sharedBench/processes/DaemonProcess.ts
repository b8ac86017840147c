import { Agent, request } from 'undici';
import type { Milliseconds } from '@apricotrill/utils';
import { BenchProcess, FleetBinary } from './BenchProcess.js';
import { InForceLog } from './InForceLog.js';
import { parseMetrics } from './parseMetrics.js';
import type { MetricReading } from './parseMetrics.js';

/** How long a daemon may take to say whether it is ready. */
const ASK_TIMEOUT: Milliseconds = 1000;

/** Who a daemon is and where it listens for the others. */
export interface DaemonAddress {
  id: string;
  availabilityZone: string;
  host: string;
  meshPort: number;
}

/** What a daemon shows of another. */
export interface SeenMember {
  id: string;
  state: string;
}

/**
 * A router daemon as a process, which can be stopped gracefully and started again.
 *
 * @internal
 */
export class DaemonProcess {
  readonly inForce = new InForceLog();

  /** Where callers ask it. */
  origin = '';

  private adminOrigin = '';

  private process: BenchProcess | undefined;

  private readonly agent = new Agent({
    headersTimeout: ASK_TIMEOUT,
    bodyTimeout: ASK_TIMEOUT,
    connectTimeout: ASK_TIMEOUT,
  });

  /**
   * @param address - as in its settings
   * @param args - of the binary
   */
  constructor(
    readonly address: DaemonAddress,
    private readonly args: string[],
  ) {}

  /** Starts a process and waits until it listens. */
  async start(): Promise<void> {
    const { process, ports } = await BenchProcess.start(FleetBinary.Router, this.args, (line) =>
      this.inForce.read(line),
    );
    const { host } = this.address;
    this.process = process;
    this.origin = `http://${host}:${ports.port}`;
    this.adminOrigin = `http://${host}:${ports.adminPort}`;
  }

  get pid(): number {
    return this.process!.pid;
  }

  /** Shuts it down gracefully. @returns the exit code, or the signal that ended it */
  async stop(): Promise<number | string> {
    this.process!.signal('SIGTERM');
    return this.process!.exited;
  }

  /** What the balancer asks. */
  async isReady(): Promise<boolean> {
    try {
      const { statusCode, body } = await this.ask('/ready');
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  async getMembers(): Promise<SeenMember[]> {
    const { body } = await this.ask('/admin/members');
    const { members } = (await body.json()) as { members: SeenMember[] };
    return members;
  }

  async getMetrics(): Promise<MetricReading[]> {
    const { body } = await this.ask('/metrics');
    return parseMetrics(await body.text());
  }

  async dispose(): Promise<void> {
    await this.process?.kill();
    await this.agent.destroy();
  }

  private ask(path: string) {
    return request(`${this.adminOrigin}${path}`, { dispatcher: this.agent });
  }
}
