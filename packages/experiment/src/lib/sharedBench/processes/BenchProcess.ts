import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { StepError } from '@apricotrill/utils';

const PACKAGES = new URL('../../../../../', import.meta.url);

/** The binaries that this measurement starts, under `packages/`. */
export enum FleetBinary {
  Router = 'router/dist/bin/apricotrill-router.js',
  Platform = 'standins/dist/bin/apricotrill-standin-platform.js',
  Engine = 'standins/dist/bin/apricotrill-standin-engine.js',
  Service = 'standins/dist/bin/apricotrill-standin-service.js',
}

/** How many of the last log lines an error shows. */
const SHOWN_LINES = 10;

const running = new Set<ChildProcess>();

/** A measurement that ends early, by a signal or an error, must leave no process behind. */
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/**
 * One of our processes, with its decision log. Only benchmarks and tests start processes; the
 * daemons never do.
 *
 * @internal
 */
export class BenchProcess {
  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>;

  private readonly lastLines: string[] = [];

  private readonly child: ChildProcess;

  /**
   * @param args - script and its arguments
   * @param onLine - hears each line of the log
   */
  private constructor(args: string[], onLine: (line: string) => void) {
    // Decision logs are written, as in service.
    const env = { ...process.env, DEBUG: 'apricotrill:*', NODE_OPTIONS: '' };
    this.child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    running.add(this.child);
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        running.delete(this.child);
        resolve(code ?? signal ?? 'unknown');
      });
    });
    createInterface({ input: this.child.stderr! }).on('line', (line) => {
      this.lastLines.push(line);
      this.lastLines.splice(0, this.lastLines.length - SHOWN_LINES);
      onLine(line);
    });
  }

  /**
   * Starts a binary and waits until it says where it listens.
   *
   * @throws StepError when it ends before
   */
  static async start(
    binary: FleetBinary,
    args: string[],
    onLine: (line: string) => void = () => {},
  ): Promise<{ process: BenchProcess; ports: Record<string, number> }> {
    const started = new BenchProcess([fileURLToPath(new URL(binary, PACKAGES)), ...args], onLine);
    const line = await started.getFirstLine(binary);
    const { listening } = JSON.parse(line) as { listening: Record<string, number> };
    return { process: started, ports: listening };
  }

  /** Starts Node.js alone with a script that prints a line once it runs. */
  static async startScript(script: string): Promise<BenchProcess> {
    const started = new BenchProcess(['--input-type=module', '--eval', script], () => {});
    await started.getFirstLine('script');
    return started;
  }

  get pid(): number {
    return this.child.pid!;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  private async getFirstLine(peer: string): Promise<string> {
    return Promise.race([
      new Promise<string>((resolve) => {
        createInterface({ input: this.child.stdout! }).once('line', resolve);
      }),
      this.exited.then((code) => {
        const lines = this.lastLines.join('\n');
        throw new StepError(`ended with ${code}\n${lines}`, { step: 'start', peer });
      }),
    ]);
  }
}
