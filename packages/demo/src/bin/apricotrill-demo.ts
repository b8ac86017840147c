#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';
import { DemoCommand } from '../lib/DemoCommand.js';

const cli = new Cli({
  binaryLabel: 'apricotrill demo',
  binaryName: 'apricotrill-demo',
  binaryVersion: '0.1.0',
});
cli.register(DemoCommand);
cli.register(Builtins.HelpCommand);
const exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
// Connections between daemons that both ends close at once stay half closed for minutes, since each
// end waits for the other. All output is written and everything is disposed, so exit now.
process.exit(exitCode);
