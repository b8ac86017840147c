import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const PACKAGES = fileURLToPath(new URL('../../../', import.meta.url));

/** Where each binary lies under `packages/`. */
export enum Binary {
  Router = 'router/dist/bin/apricotrill-router.js',
  Platform = 'standins/dist/bin/apricotrill-standin-platform.js',
  Engine = 'standins/dist/bin/apricotrill-standin-engine.js',
  Service = 'standins/dist/bin/apricotrill-standin-service.js',
  Operator = 'cli/dist/bin/apricotrill.js',
}

/** One of our processes, started by a test and ended by its id. */
export class Subprocess {
  readonly child: ChildProcess;

  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>;

  readonly log: string[] = [];

  private readonly watchers = new Set<(line: string) => void>();

  constructor(binary: Binary, args: string[]) {
    const env = { ...process.env, DEBUG: 'apricotrill:*', NODE_OPTIONS: '' };
    this.child = spawn(process.execPath, [`${PACKAGES}${binary}`, ...args], {
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'));
    });
    createInterface({ input: this.child.stderr! }).on('line', (line) => this.noteLine(line));
  }

  /** The first line on standard output, as JSON: where the process listens. */
  async getListening(): Promise<Record<string, number>> {
    const lines = createInterface({ input: this.child.stdout! });
    const line = await Promise.race([
      new Promise<string>((resolve) => {
        lines.once('line', resolve);
      }),
      this.exited.then((code) => {
        throw new Error(`process ended with ${code}:\n${this.log.slice(-20).join('\n')}`);
      }),
    ]);
    return (JSON.parse(line) as { listening: Record<string, number> }).listening;
  }

  /** Waits for a log line that has come or will come. */
  waitForLog(isIt: (line: string) => boolean): Promise<string> {
    const known = this.log.find(isIt);
    if (known !== undefined) {
      return Promise.resolve(known);
    }
    return new Promise((resolve) => {
      const watcher = (line: string) => {
        if (isIt(line)) {
          this.watchers.delete(watcher);
          resolve(line);
        }
      };
      this.watchers.add(watcher);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  async dispose(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  private noteLine(line: string): void {
    this.log.push(line);
    [...this.watchers].forEach((watcher) => watcher(line));
  }
}
