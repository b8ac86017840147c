import { formatDiagnostic } from '@apricotrill/model';
import type { Diagnostic } from '@apricotrill/model';
import { StepError } from '@apricotrill/utils';

/** The operators' files are invalid; holds every error found in them. */
export class InvalidFilesError extends StepError {
  constructor(readonly diagnostics: readonly Diagnostic[]) {
    const files = [...new Set(diagnostics.map(({ file }) => file))];
    const faults = diagnostics.length === 1 ? '1 fault' : `${diagnostics.length} faults`;
    super(faults, { step: 'check', peer: files.join(', ') });
  }

  /** Returns one line for each error. */
  getLines(): string[] {
    return this.diagnostics.map(formatDiagnostic);
  }
}
