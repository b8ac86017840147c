import { parseSettings } from '@apricotrill/model';
import type { Settings } from '@apricotrill/model';
import { Command, Option, UsageError } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { createRouterDaemon } from './createRouterDaemon.js';
import type { RouterDaemon } from './daemon/RouterDaemon.js';
import { SharedFiles } from './daemon/SharedFiles.js';

const EXIT_WRONG_SETTINGS = 2;
const EXIT_FAILED = 1;
const EXIT_FORCED = 130;

/** The command ends with its process. */
const untilExit = new Promise<number>(() => {});

const LAST_PORT = 65_535;

/** @throws UsageError when it is no port */
function readPort(text: string): number {
  const port = Number(text);
  if (!Number.isInteger(port) || port < 1 || port > LAST_PORT) {
    throw new UsageError(`--announced-mesh-port takes a port, 1 to ${LAST_PORT}, not "${text}"`);
  }
  return port;
}

/**
 * Runs the daemon until it is told to stop.
 *
 * @internal
 */
export class RunCommand extends Command {
  static override paths = [Command.Default, ['run']];

  static override usage = Command.Usage({
    description: 'runs a router daemon',
    details: `
      Serves callers until SIGTERM or SIGINT. Then the readiness answer turns, every request in
      flight is finished, and the process ends; a second signal ends it at once.

      Decisions are logged on standard error, one JSON line each, by step: DEBUG=apricotrill:*
    `,
    examples: [['Run with settings', 'apricotrill-router --settings router.jsonc']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'the settings of this daemon, JSON with comments',
  });

  announcedMeshPort = Option.String('--announced-mesh-port', {
    description: 'where other daemons reach the mesh, when something in between translates ports',
  });

  register = Option.String('--register', {
    description: 'run alone on this register instead of the platform',
  });

  rules = Option.String('--rules', { description: 'run alone on these rules' });

  override async execute(): Promise<number> {
    const settings = await this.readSettings();
    if (settings === undefined) {
      return EXIT_WRONG_SETTINGS;
    }
    const daemon = this.createDaemon(settings);
    this.endOnSignals(daemon);
    const ports = await daemon.start().catch((error: unknown) => this.fail(error));
    this.context.stdout.write(
      `${JSON.stringify({ listening: { host: settings.host, ...ports } })}\n`,
    );
    return untilExit;
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
      const announced = this.announcedMeshPort;
      const announcedMeshPort = announced === undefined ? undefined : readPort(announced);
      return createRouterDaemon(settings, { announcedMeshPort });
    }
    const lone = new SharedFiles(settings.id, register, rules);
    return createRouterDaemon(settings, { lone });
  }

  /** A daemon that could not start would go on with some of its ports open and serve nobody. */
  private fail(error: unknown): never {
    this.context.stderr.write(`${String(error)}\n`);
    process.exit(EXIT_FAILED);
  }

  /**
   * Exits by itself once the daemon has stopped: a connection whose other end is frozen would stay
   * half closed and hold the process for as long as that end sleeps, and a restart with it.
   */
  private endOnSignals(daemon: RouterDaemon): void {
    let signals = 0;
    const onSignal = () => {
      signals += 1;
      if (signals > 1) {
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
