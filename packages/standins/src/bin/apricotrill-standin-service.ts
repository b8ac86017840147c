#!/usr/bin/env node
import { Command, Option, runExit } from 'clipanion';
import { isNumber } from 'typanion';
import { omitUndefined } from '../lib/omitUndefined.js';
import { runStandin } from '../lib/runStandin.js';
import { createServiceStandin } from '../lib/service/ServiceStandin.js';

const CRASH_CODE = 70;

class ServiceCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run a stand-in for a plain service',
    details: `
      Answers any method and path with JSON that echoes the call. Prints one JSON line with its
      address when it listens, and exits on SIGINT or SIGTERM. POST /faults injects a fault, GET
      /runs lists the calls that took effect.
    `,
    examples: [['A portal that takes 10 ms per call', '$0 --service jasenportaali --delay 10']],
  });

  service = Option.String('--service', { description: 'name echoed in responses' });

  host = Option.String('--host', { description: 'address to listen at (127.0.0.1)' });

  port = Option.String('--port', {
    validator: isNumber(),
    description: 'port; 0 for any free port',
  });

  slots = Option.String('--slots', {
    validator: isNumber(),
    description: 'maximum running calls (16)',
  });

  maxWaiting = Option.String('--max-waiting', {
    validator: isNumber(),
    description: 'maximum waiting calls; further ones are refused (1000)',
  });

  delay = Option.String('--delay', {
    validator: isNumber(),
    description: 'duration of a call, in ms (5)',
  });

  loadLag = Option.String('--load-lag', {
    validator: isNumber(),
    description: 'lag of the reported load, in ms (200)',
  });

  override async execute(): Promise<void> {
    const { service, host, port, slots, maxWaiting, delay, loadLag } = this;
    const options = omitUndefined({ service, host, port, slots, maxWaiting, delay, loadLag });
    const onCrash = () => process.exit(CRASH_CODE);
    await runStandin(createServiceStandin({ ...options, onCrash }), this.context.stdout);
  }
}

await runExit(
  { binaryLabel: 'Plain service stand-in', binaryName: 'apricotrill-standin-service' },
  ServiceCommand,
);
