import type { ClassRule, Configuration } from '@apricotrill/model';

/** The lists of entries that a configuration consists of. */
export enum EntryList {
  Services = 'services',
  Replicas = 'replicas',
  Workspaces = 'workspaces',
  Classes = 'classes',
  ClassRules = 'classRules',
}

/** An entry of any list as plain data. */
export type Entry = Record<string, unknown>;

/** Entries by list. */
export type EntryLists = Record<EntryList, Entry[]>;

/** Whether the order of the list is significant; other lists are sorted by name. */
export function isOrdered(list: EntryList): boolean {
  return list === EntryList.Classes || list === EntryList.ClassRules;
}

/** The conditions of a rule, which identify it. */
function getRuleName(rule: ClassRule): string {
  const { class: ignored, service, ...conditions } = rule;
  const terms = Object.entries(conditions)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${value}`)
    .sort();
  return [service, ...terms].join(' ');
}

/** The name that identifies an entry within its list. */
export function getEntryName(list: EntryList, entry: Entry): string {
  switch (list) {
    case EntryList.Replicas:
      return String(entry.id);
    case EntryList.ClassRules:
      return getRuleName(entry as unknown as ClassRule);
    case EntryList.Services:
    case EntryList.Workspaces:
    case EntryList.Classes:
    default:
      return String(entry.name);
  }
}

function compareNames(left: string, right: string): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

/** Sorts the entries unless their order is significant, so that the result is the same everywhere. */
export function getSortedEntries(list: EntryList, entries: readonly Entry[]): Entry[] {
  if (isOrdered(list)) {
    return [...entries];
  }
  return [...entries].sort((left, right) =>
    compareNames(getEntryName(list, left), getEntryName(list, right)),
  );
}

/** Splits a configuration into its lists. */
export function getEntryLists(configuration: Configuration): EntryLists {
  const { register, rules } = configuration;
  const lists = { ...register, ...rules } as unknown as EntryLists;
  return Object.fromEntries(
    Object.values(EntryList).map((list) => [list, getSortedEntries(list, lists[list])]),
  ) as EntryLists;
}

/** Assembles a configuration from its lists. */
export function getConfigurationFromLists(lists: EntryLists): Configuration {
  const { services, replicas, workspaces, classes, classRules } = lists;
  return {
    register: { services, replicas, workspaces },
    rules: { classes, classRules },
  } as unknown as Configuration;
}

/** Creates lists without entries. */
export function createEntryLists(): EntryLists {
  return { services: [], replicas: [], workspaces: [], classes: [], classRules: [] };
}
