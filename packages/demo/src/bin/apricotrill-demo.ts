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
// Links between daemons that both ends close in the same moment stay half closed for minutes, each
// end waiting for the other. Everything is shown and stopped by now: nothing is left to wait for.
process.exit(exitCode);
