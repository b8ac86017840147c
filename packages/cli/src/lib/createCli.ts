import { Builtins, Cli } from 'clipanion';
import { ApplyCommand } from './commands/ApplyCommand.js';
import { DiffCommand } from './commands/DiffCommand.js';
import { ExplainCommand } from './commands/ExplainCommand.js';
import { HistoryCommand } from './commands/HistoryCommand.js';
import { IncidentCommand } from './commands/IncidentCommand.js';
import { KeyCreateCommand } from './commands/KeyCreateCommand.js';
import { MembersCommand } from './commands/MembersCommand.js';
import { ShowCommand } from './commands/ShowCommand.js';
import { StatusCommand } from './commands/StatusCommand.js';
import { TiersCommand } from './commands/TiersCommand.js';
import { TraceCommand } from './commands/TraceCommand.js';
import { ValidateCommand } from './commands/ValidateCommand.js';
import type { OperatorContext } from './OperatorContext.js';

/** All commands of `apricotrill`. */
export const COMMANDS = [
  ValidateCommand,
  DiffCommand,
  ApplyCommand,
  ExplainCommand,
  KeyCreateCommand,
  StatusCommand,
  MembersCommand,
  HistoryCommand,
  ShowCommand,
  TraceCommand,
  IncidentCommand,
  TiersCommand,
];

/** Creates the operators' command line. */
export function createCli(): Cli<OperatorContext> {
  const cli = new Cli<OperatorContext>({
    binaryLabel: 'apricotrill, the operators’ command line',
    binaryName: 'apricotrill',
  });
  [...COMMANDS, Builtins.HelpCommand].forEach((command) => cli.register(command));
  return cli;
}
