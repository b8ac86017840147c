import { ConfigurationError } from '@apricotrill/configuration';
import { StoreUnavailableError, ValueTooLargeError } from '@apricotrill/store';
import { StepError } from '@apricotrill/utils';
import { Command, Option } from 'clipanion';
import { DaemonUnavailableError } from './daemons/DaemonUnavailableError.js';
import { ExitCode } from './ExitCode.js';
import type { OperatorContext } from './OperatorContext.js';
import { UnreadableFileError } from './readFiles.js';
import { RefusedFilesError } from './InvalidFilesError.js';
import type { Report } from './Report.js';

/** The exit status of an error that is not a fault of this program; undefined for all others. */
function getErrorExitCode(error: unknown): ExitCode | undefined {
  if (error instanceof RefusedFilesError || error instanceof UnreadableFileError) {
    return ExitCode.Refused;
  }
  if (error instanceof StoreUnavailableError || error instanceof DaemonUnavailableError) {
    return ExitCode.Unavailable;
  }
  if (error instanceof ConfigurationError || error instanceof ValueTooLargeError) {
    return ExitCode.Impossible;
  }
  return undefined;
}

/** What each command of `apricotrill` has in common: how it reports and how it fails. */
export abstract class OperatorCommand extends Command<OperatorContext> {
  json = Option.Boolean('--json', false, { description: 'Print one JSON value, for machines.' });

  protected abstract run(): Promise<Report>;

  override async execute(): Promise<ExitCode> {
    try {
      const report = await this.run();
      this.print(report);
      return report.exitCode;
    } catch (error) {
      const exitCode = getErrorExitCode(error);
      if (exitCode === undefined || !(error instanceof StepError)) {
        throw error;
      }
      this.printError(error);
      return exitCode;
    }
  }

  /** Tells people what goes on; machines read the report alone. */
  protected note(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  private print({ lines, value }: Report): void {
    const shown = this.json ? [JSON.stringify(value)] : lines;
    shown.forEach((line) => this.context.stdout.write(`${line}\n`));
  }

  private printError(error: StepError): void {
    const { message, step, peer } = error;
    const diagnostics = error instanceof RefusedFilesError ? error.diagnostics : undefined;
    if (this.json) {
      const value = { error: { step, peer, message, diagnostics } };
      this.context.stdout.write(`${JSON.stringify(value)}\n`);
    }
    const lines = error instanceof RefusedFilesError ? error.getLines() : [];
    [...lines, `error: ${message}`].forEach((line) => this.note(line));
  }
}
