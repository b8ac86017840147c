import type { ConfigurationDifference } from '@apricotrill/configuration';
import { exhaustiveSwitchError } from '@apricotrill/utils';

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}

function formatDifference(difference: ConfigurationDifference): string[] {
  switch (difference.kind) {
    case 'added':
      return [`+ ${difference.list} ${difference.name}`, `    ${formatValue(difference.entry)}`];
    case 'removed':
      return [`- ${difference.list} ${difference.name}`];
    case 'changed':
      return [
        `~ ${difference.list} ${difference.name}`,
        ...difference.fields.map(
          ({ key, from, to }) => `    ${key}: ${formatValue(from)} → ${formatValue(to)}`,
        ),
      ];
    case 'reordered':
      return [`~ ${difference.list}: order changed`];
    default:
      throw exhaustiveSwitchError(difference);
  }
}

/** Formats added, removed, changed and reordered entries for people. */
export function formatDiff(differences: readonly ConfigurationDifference[]): string[] {
  return differences.length === 0
    ? ['no differences']
    : differences.flatMap((difference) => formatDifference(difference));
}
