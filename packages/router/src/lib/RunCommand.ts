import type { Settings } from '@apricotrill/model';
import { Command, Option, UsageError } from 'clipanion';
import { createRouterDaemon } from './createRouterDaemon.js';
import type { RouterDaemon } from './daemon/RouterDaemon.js';
import { SharedFiles } from './daemon/SharedFiles.js';
import { RouterProcess } from './RouterProcess.js';

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
      Settings that are missing or incomplete at the start are waited for. The last line of standard
      output states why the process ends.

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
    await new RouterProcess({
      settingsFile: this.settings,
      createDaemon: (settings) => this.createDaemon(settings),
      output: this.context.stdout,
      errorOutput: this.context.stderr,
    }).run();
    return pendingForever;
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
}
