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
await cli.runExit(process.argv.slice(2));
