import type { Configuration } from '@apricotrill/model';
import { getCanonicalText } from '../getCanonicalText.js';
import { EntryList, getEntryLists, getEntryName, isOrdered } from '../parts/entryLists.js';
import type { Entry } from '../parts/entryLists.js';

/**
 * A key of an entry whose value differs; `undefined` means that the key is absent.
 *
 * @public
 */
export interface FieldChange {
  key: string;
  from: unknown;
  to: unknown;
}

/**
 * One difference between two configurations.
 *
 * @public
 */
export type ConfigurationDifference =
  | { kind: 'added'; list: EntryList; name: string; entry: Entry }
  | { kind: 'removed'; list: EntryList; name: string; entry: Entry }
  | { kind: 'changed'; list: EntryList; name: string; fields: FieldChange[] }
  /** The common entries are in a different order, which decides which rule applies first. */
  | { kind: 'reordered'; list: EntryList };

/** A configuration without entries: the base of the first change. */
export const EMPTY_CONFIGURATION: Configuration = {
  register: { services: [], replicas: [], workspaces: [] },
  rules: { classes: [], classRules: [] },
};

function getFieldChanges(from: Entry, to: Entry): FieldChange[] {
  const keys = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
  return keys
    .filter((key) => getCanonicalText(from[key]) !== getCanonicalText(to[key]))
    .map((key) => ({ key, from: from[key], to: to[key] }));
}

function getNames(list: EntryList, entries: readonly Entry[], includedNames: ReadonlySet<string>) {
  return entries
    .map((entry) => getEntryName(list, entry))
    .filter((name) => includedNames.has(name));
}

function getListDiff(
  list: EntryList,
  from: readonly Entry[],
  to: readonly Entry[],
): ConfigurationDifference[] {
  const before = new Map(from.map((entry) => [getEntryName(list, entry), entry]));
  const after = new Map(to.map((entry) => [getEntryName(list, entry), entry]));
  const differences: ConfigurationDifference[] = [];
  before.forEach((entry, name) => {
    if (!after.has(name)) {
      differences.push({ kind: 'removed', list, name, entry });
    }
  });
  after.forEach((entry, name) => {
    const earlier = before.get(name);
    const fields = earlier === undefined ? [] : getFieldChanges(earlier, entry);
    if (earlier === undefined) {
      differences.push({ kind: 'added', list, name, entry });
    } else if (fields.length > 0) {
      differences.push({ kind: 'changed', list, name, fields });
    }
  });
  const commonNames = new Set([...before.keys()].filter((name) => after.has(name)));
  const isReordered =
    isOrdered(list) &&
    getNames(list, from, commonNames).join('\n') !== getNames(list, to, commonNames).join('\n');
  return isReordered ? [...differences, { kind: 'reordered', list }] : differences;
}

/**
 * The differences between two configurations, entry by entry; empty if they are equal. The order of
 * entries is compared only in lists where it is significant.
 *
 * @example
 * ```ts
 * const differences = getConfigurationDiff(accepted.configuration, edited);
 * ```
 * @public
 */
export function getConfigurationDiff(
  from: Configuration,
  to: Configuration,
): ConfigurationDifference[] {
  const before = getEntryLists(from);
  const after = getEntryLists(to);
  return Object.values(EntryList).flatMap((list) => getListDiff(list, before[list], after[list]));
}
