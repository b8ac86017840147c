#!/usr/bin/env node
import { Command, Option, runExit } from 'clipanion';
import { isNumber } from 'typanion';
import { omitUndefined } from '../lib/omitUndefined.js';
import { createPlatformStandin } from '../lib/platform/PlatformStandin.js';
import { runStandin } from '../lib/runStandin.js';

class PlatformCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run a stand-in for the platform: object store and instance list',
    details: `
      Keeps everything in memory. Prints one JSON line with its address when it listens, and exits
      on SIGINT or SIGTERM. POST /faults injects a fault, GET /counters returns the call counters.
    `,
    examples: [['Any free port, with a list that lags by 5 s', '$0 --port 0 --list-lag 5000']],
  });

  host = Option.String('--host', { description: 'address to listen at (127.0.0.1)' });

  port = Option.String('--port', {
    validator: isNumber(),
    description: 'port; 0 for any free port',
  });

  listLag = Option.String('--list-lag', {
    validator: isNumber(),
    description: 'lag of the list of instances, in ms (2000)',
  });

  override async execute(): Promise<void> {
    const { host, port, listLag } = this;
    const platform = createPlatformStandin(omitUndefined({ host, port, listLag }));
    await runStandin(platform, this.context.stdout);
  }
}

await runExit(
  { binaryLabel: 'Platform stand-in', binaryName: 'apricotrill-standin-platform' },
  PlatformCommand,
);
