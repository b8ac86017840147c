#!/usr/bin/env node
import { Command, Option, runExit } from 'clipanion';
import { isNumber } from 'typanion';
import { getDefined } from '../lib/getDefined.js';
import { runStandin } from '../lib/runStandin.js';
import { createServiceStandin } from '../lib/service/ServiceStandin.js';

const CRASH_CODE = 70;

class ServiceCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run a stand-in for a plain service',
    details: `
      Answers any method and path with JSON that echoes the call. Prints one JSON line with its
      address when it listens, and ends on SIGINT or SIGTERM. POST /faults makes it fail, GET /runs
      lists the calls that took effect.
    `,
    examples: [['A portal that takes 10 ms a call', '$0 --service jasenportaali --delay 10']],
  });

  service = Option.String('--service', { description: 'name echoed in answers' });

  host = Option.String('--host', { description: 'address to listen at (127.0.0.1)' });

  port = Option.String('--port', { validator: isNumber(), description: 'port; 0, any free one' });

  slots = Option.String('--slots', { validator: isNumber(), description: 'calls at once (16)' });

  maxWaiting = Option.String('--max-waiting', {
    validator: isNumber(),
    description: 'calls that may wait; more are refused (1000)',
  });

  delay = Option.String('--delay', { validator: isNumber(), description: 'ms a call takes (5)' });

  loadLag = Option.String('--load-lag', {
    validator: isNumber(),
    description: 'how long the reported load stays behind, in ms (200)',
  });

  override async execute(): Promise<void> {
    const { service, host, port, slots, maxWaiting, delay, loadLag } = this;
    const options = getDefined({ service, host, port, slots, maxWaiting, delay, loadLag });
    const onCrash = () => process.exit(CRASH_CODE);
    await runStandin(createServiceStandin({ ...options, onCrash }), this.context.stdout);
  }
}

await runExit(
  { binaryLabel: 'Plain service stand-in', binaryName: 'apricotrill-standin-service' },
  ServiceCommand,
);
