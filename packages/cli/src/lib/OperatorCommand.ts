import { ConfigurationError } from '@apricotrill/configuration';
import { StoreUnavailableError, ValueTooLargeError } from '@apricotrill/store';
import { StepError } from '@apricotrill/utils';
import { Command, Option } from 'clipanion';
import { DaemonUnavailableError } from './daemons/DaemonUnavailableError.js';
import { ExitCode } from './ExitCode.js';
import type { OperatorContext } from './OperatorContext.js';
import { UnreadableFileError } from './readFiles.js';
import { InvalidFilesError } from './InvalidFilesError.js';
import type { Report } from './Report.js';

/** Returns the exit status of an expected error; undefined for a fault of this program. */
function getErrorExitCode(error: unknown): ExitCode | undefined {
  if (error instanceof InvalidFilesError || error instanceof UnreadableFileError) {
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

/** Base class of the commands of `apricotrill`: prints reports and handles errors. */
export abstract class OperatorCommand extends Command<OperatorContext> {
  json = Option.Boolean('--json', false, { description: 'Print the result as one JSON value.' });

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

  /** Writes a progress message to stderr; stdout holds nothing but the report. */
  protected printProgress(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  private print({ lines, value }: Report): void {
    const shown = this.json ? [JSON.stringify(value)] : lines;
    shown.forEach((line) => this.context.stdout.write(`${line}\n`));
  }

  private printError(error: StepError): void {
    const { message, step, peer } = error;
    const diagnostics = error instanceof InvalidFilesError ? error.diagnostics : undefined;
    if (this.json) {
      const value = { error: { step, peer, message, diagnostics } };
      this.context.stdout.write(`${JSON.stringify(value)}\n`);
    }
    const lines = error instanceof InvalidFilesError ? error.getLines() : [];
    [...lines, `error: ${message}`].forEach((line) => this.printProgress(line));
  }
}
