#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';
import { BenchCommand } from './BenchCommand.js';
import { CapacityCommand } from './CapacityCommand.js';
import { FullSizeCommand } from './FullSizeCommand.js';
import { PolicyCommand } from './PolicyCommand.js';
import { RelayCommand } from './RelayCommand.js';
import { SharedCommand } from './SharedCommand.js';

const cli = new Cli({
  binaryLabel: 'Experiments, benchmarks and the capacity table of apricotrill',
  binaryName: 'apricotrill-experiment',
  binaryVersion: '0.1.0',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(PolicyCommand);
cli.register(RelayCommand);
cli.register(BenchCommand);
cli.register(CapacityCommand);
cli.register(FullSizeCommand);
cli.register(SharedCommand);
await cli.runExit(process.argv.slice(2));
