#!/usr/bin/env node
import { Command, Option, runExit } from 'clipanion';
import { isNumber } from 'typanion';
import { getDefined } from '../lib/getDefined.js';
import { createPlatformStandin } from '../lib/platform/PlatformStandin.js';
import { runStandin } from '../lib/runStandin.js';

class PlatformCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run a stand-in for the platform: object store and instance list',
    details: `
      Keeps everything in memory. Prints one JSON line with its address when it listens, and ends
      on SIGINT or SIGTERM. POST /faults makes it fail, GET /counters tells the calls it took.
    `,
    examples: [['On any free port, with a list that is 5 s behind', '$0 --port 0 --list-lag 5000']],
  });

  host = Option.String('--host', { description: 'address to listen at (127.0.0.1)' });

  port = Option.String('--port', { validator: isNumber(), description: 'port; 0, any free one' });

  listLag = Option.String('--list-lag', {
    validator: isNumber(),
    description: 'how long the list of instances stays behind, in ms (2000)',
  });

  override async execute(): Promise<void> {
    const { host, port, listLag } = this;
    const platform = createPlatformStandin(getDefined({ host, port, listLag }));
    await runStandin(platform, this.context.stdout);
  }
}

await runExit(
  { binaryLabel: 'Platform stand-in', binaryName: 'apricotrill-standin-platform' },
  PlatformCommand,
);
