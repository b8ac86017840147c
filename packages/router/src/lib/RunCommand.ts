import { parseSettings } from '@apricotrill/model';
import type { Settings } from '@apricotrill/model';
import { Command, Option, UsageError } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { createRouterDaemon } from './createRouterDaemon.js';
import type { RouterDaemon } from './daemon/RouterDaemon.js';
import { SharedFiles } from './daemon/SharedFiles.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;
const EXIT_FORCED = 130;

/** Never resolves: the command runs until its process exits. */
const pendingForever = new Promise<number>(() => {});

const MAX_PORT = 65_535;

/** @throws UsageError when the text is not a valid port */
function parsePort(text: string): number {
  const port = Number(text);
  if (!Number.isInteger(port) || port < 1 || port > MAX_PORT) {
    throw new UsageError(`--announced-mesh-port takes a port, 1 to ${MAX_PORT}, not "${text}"`);
  }
  return port;
}

/**
 * Runs the daemon until it receives a signal to stop.
 *
 * @internal
 */
export class RunCommand extends Command {
  static override paths = [Command.Default, ['run']];

  static override usage = Command.Usage({
    description: 'runs a router daemon',
    details: `
      Serves requests until SIGTERM or SIGINT. Then the readiness check fails, every request in
      flight is completed, and the process exits; a second signal makes it exit immediately.

      Decisions are logged to standard error, one line of JSON each, by step: DEBUG=apricotrill:*
    `,
    examples: [['Run with a settings file', 'apricotrill-router --settings router.jsonc']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'the settings file of this daemon, JSON with comments',
  });

  announcedMeshPort = Option.String('--announced-mesh-port', {
    description: 'the port at which peers reach the mesh, if port translation changes it',
  });

  register = Option.String('--register', {
    description: 'run standalone with this register file instead of the platform',
  });

  rules = Option.String('--rules', { description: 'run standalone with this rules file' });

  override async execute(): Promise<number> {
    const settings = await this.readSettings();
    if (settings === undefined) {
      return EXIT_INVALID_SETTINGS;
    }
    const daemon = this.createDaemon(settings);
    this.stopOnSignals(daemon);
    const ports = await daemon.start().catch((error: unknown) => this.fail(error));
    if (ports !== undefined) {
      this.context.stdout.write(
        `${JSON.stringify({ listening: { host: settings.host, ...ports } })}\n`,
      );
    }
    return pendingForever;
  }

  private async readSettings(): Promise<Settings | undefined> {
    const result = parseSettings(await readFile(this.settings, 'utf8'), this.settings);
    if (result.ok) {
      return result.value;
    }
    result.error.forEach(({ file, line, column, reason, expected }) => {
      this.context.stderr.write(`${file}:${line}:${column}: ${reason}; ${expected}\n`);
    });
    return undefined;
  }

  private createDaemon(settings: Settings): RouterDaemon {
    const { register, rules } = this;
    if (register === undefined || rules === undefined) {
      const portText = this.announcedMeshPort;
      const announcedMeshPort = portText === undefined ? undefined : parsePort(portText);
      return createRouterDaemon(settings, { announcedMeshPort });
    }
    const sharedState = new SharedFiles(settings.id, register, rules);
    return createRouterDaemon(settings, { sharedState });
  }

  /** Exits, since a daemon that failed to start would keep some ports open without serving requests. */
  private fail(error: unknown): never {
    this.context.stderr.write(`${String(error)}\n`);
    process.exit(EXIT_FAILED);
  }

  /**
   * Stops the daemon on SIGTERM or SIGINT and then exits explicitly. Otherwise a connection whose peer
   * is frozen would stay half closed and keep the process running, and so delay a restart, until the
   * peer resumes.
   */
  private stopOnSignals(daemon: RouterDaemon): void {
    let signalCount = 0;
    const onSignal = () => {
      signalCount += 1;
      if (signalCount > 1) {
        process.exit(EXIT_FORCED);
      }
      daemon.stop().then(
        () => process.exit(0),
        (error: unknown) => this.fail(error),
      );
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  }
}
