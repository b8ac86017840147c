import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { StepError } from '@apricotrill/utils';

const PACKAGES = new URL('../../../../', import.meta.url);

/** The binaries that benchmarks start, under `packages/`. */
export enum Binary {
  Router = 'router/dist/bin/apricotrill-router.js',
  Engine = 'standins/dist/bin/apricotrill-standin-engine.js',
}

/**
 * One of our binaries as a process of its own, as a benchmark measures it. Only benchmarks and
 * tests start processes; the daemons never do.
 *
 * @internal
 */
export class StartedProcess {
  private constructor(
    private readonly child: ChildProcess,
    readonly ports: Record<string, number>,
  ) {}

  /**
   * Starts a binary and waits until it says where it listens.
   *
   * @throws StepError when it ends before
   */
  static async start(binary: Binary, args: string[]): Promise<StartedProcess> {
    const script = fileURLToPath(new URL(binary, PACKAGES));
    // Decision logs are written, as in service, and thrown away.
    const env = { ...process.env, DEBUG: 'apricotrill:*', NODE_OPTIONS: '' };
    const child = spawn(process.execPath, [script, ...args], {
      env,
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    const line = await new Promise<string>((resolve, reject) => {
      createInterface({ input: child.stdout }).once('line', resolve);
      child.once('exit', (code) =>
        reject(new StepError(`ended with ${code}`, { step: 'start', peer: binary })),
      );
    });
    const { listening } = JSON.parse(line) as { listening: Record<string, number> };
    return new StartedProcess(child, listening);
  }

  get pid(): number {
    return this.child.pid!;
  }

  async stop(): Promise<void> {
    const exited = new Promise((resolve) => {
      this.child.once('exit', resolve);
    });
    this.child.kill('SIGKILL');
    await exited;
  }
}
