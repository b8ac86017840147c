import type { ApplyResult, ConfigurationDifference } from '@apricotrill/configuration';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import { ExitCode } from '../ExitCode.js';
import type { Report } from '../Report.js';
import { formatChange } from '../text/formatChange.js';
import { formatDiff } from '../text/formatDiff.js';

function getEntryName(difference: ConfigurationDifference): string {
  return difference.kind === 'reordered'
    ? `${difference.list}: order`
    : `${difference.list} ${difference.name}`;
}

/** Returns the entries that both sides changed, which have to be merged by hand. */
function getOverlap(
  theirs: readonly ConfigurationDifference[],
  mine: readonly ConfigurationDifference[],
): string[] {
  const touched = new Set(theirs.map(getEntryName));
  return mine.map(getEntryName).filter((name) => touched.has(name));
}

function getConflictLines(outcome: Extract<ApplyResult, { kind: 'conflict' }>): string[] {
  const { accepted, theirs, mine } = outcome;
  const heading = `conflict: ${formatChange(accepted)} was accepted on the same base`;
  const advice = `nothing was applied; merge their changes into the files, then apply --base ${accepted.generation}`;
  if (theirs === undefined) {
    return [
      heading,
      'yours, compared with the accepted configuration:',
      ...formatDiff(mine),
      advice,
    ];
  }
  const overlap = getOverlap(theirs, mine);
  const both = overlap.length === 0 ? 'nothing' : overlap.join(', ');
  return [
    heading,
    'theirs, since the base:',
    ...formatDiff(theirs),
    'yours, since the base:',
    ...formatDiff(mine),
    `touched by both: ${both}`,
    advice,
  ];
}

/** Reports the result of an apply, with what to do next. */
export function getApplyReport(outcome: ApplyResult, changeId: string): Report {
  switch (outcome.kind) {
    case 'accepted':
      return {
        exitCode: ExitCode.Done,
        lines: [`accepted: ${formatChange(outcome.change)}`],
        value: outcome,
      };
    case 'unchanged':
      return {
        exitCode: ExitCode.Done,
        lines: [`nothing to apply: ${formatChange(outcome.accepted)} has the same content`],
        value: outcome,
      };
    case 'conflict':
      return { exitCode: ExitCode.Conflict, lines: getConflictLines(outcome), value: outcome };
    case 'unavailable': {
      const { mayBeAccepted, error } = outcome;
      const nextStep = mayBeAccepted
        ? `change ${changeId} may be accepted; run the same command again to find out`
        : 'nothing was applied';
      return {
        exitCode: ExitCode.Unavailable,
        lines: [`no answer: ${error.message}`, nextStep],
        value: { kind: 'unavailable', mayBeAccepted, changeId, message: error.message },
      };
    }
    case 'forgotten':
      return {
        exitCode: ExitCode.Impossible,
        lines: [
          `the base is too old: ${formatChange(outcome.accepted)} is accepted, and the changes after the base are no longer kept`,
          'use diff to check whether your change is included',
        ],
        value: outcome,
      };
    default:
      throw exhaustiveSwitchError(outcome);
  }
}
