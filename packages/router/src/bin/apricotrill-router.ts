#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';
import { RunCommand } from '../lib/RunCommand.js';

const cli = new Cli({
  binaryLabel: 'apricotrill router daemon',
  binaryName: 'apricotrill-router',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
await cli.runExit(process.argv.slice(2));
