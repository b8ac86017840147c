import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { LineLog } from './LineLog.js';

const PACKAGES = fileURLToPath(new URL('../../../', import.meta.url));

/** The path of each binary under `packages/`. */
export enum Binary {
  Router = 'router/dist/bin/apricotrill-router.js',
  Platform = 'standins/dist/bin/apricotrill-standin-platform.js',
  Engine = 'standins/dist/bin/apricotrill-standin-engine.js',
  Service = 'standins/dist/bin/apricotrill-standin-service.js',
  Operator = 'cli/dist/bin/apricotrill.js',
}

/** A process of one of our binaries that a test starts and ends. */
export class Subprocess {
  readonly child: ChildProcess;

  /** Resolves with the exit code or the name of the signal. */
  readonly exited: Promise<number | string>;

  readonly log = new LineLog();

  /** The lines on standard output. */
  readonly output = new LineLog();

  /** @param preload - source of a module that runs in the process before its binary */
  constructor(binary: Binary, args: string[], preload?: string) {
    const env = { ...process.env, DEBUG: 'apricotrill:*', NODE_OPTIONS: '' };
    const preloaded =
      preload === undefined
        ? []
        : ['--import', `data:text/javascript,${encodeURIComponent(preload)}`];
    this.child = spawn(process.execPath, [...preloaded, `${PACKAGES}${binary}`, ...args], {
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'));
    });
    createInterface({ input: this.child.stderr! }).on('line', (line) => this.log.add(line));
    createInterface({ input: this.child.stdout! }).on('line', (line) => this.output.add(line));
  }

  /**
   * Reads the ports on which the process listens, from the JSON in its first line on standard
   * output.
   */
  async getListening(): Promise<Record<string, number>> {
    const line = await Promise.race([
      this.output.waitFor((text) => text.includes('"listening"')),
      this.exited.then((code) => {
        throw new Error(`process ended with ${code}:\n${this.log.lines.slice(-20).join('\n')}`);
      }),
    ]);
    return (JSON.parse(line) as { listening: Record<string, number> }).listening;
  }

  /** Waits for a matching log line, past or future. */
  waitForLog(matches: (line: string) => boolean): Promise<string> {
    return this.log.waitFor(matches);
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  async dispose(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }
}
