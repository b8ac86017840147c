import { formatDiagnostic } from '@apricotrill/model';
import type { Diagnostic } from '@apricotrill/model';
import { StepError } from '@apricotrill/utils';

/** Files that operators have to mend, with every fault found in them. */
export class RefusedFilesError extends StepError {
  constructor(readonly diagnostics: readonly Diagnostic[]) {
    const files = [...new Set(diagnostics.map(({ file }) => file))];
    const faults = diagnostics.length === 1 ? '1 fault' : `${diagnostics.length} faults`;
    super(faults, { step: 'check', peer: files.join(', ') });
  }

  /** One line for each fault. */
  getLines(): string[] {
    return this.diagnostics.map(formatDiagnostic);
  }
}
