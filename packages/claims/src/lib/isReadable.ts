import { SEGMENTS_PREFIX, LAYOUT_KEY } from './storeKeys.js';

type Fields = Record<string, unknown>;

function isRecord(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function areRecords(value: unknown): value is Fields[] {
  return Array.isArray(value) && value.every(isRecord);
}

function isMember(value: unknown): boolean {
  return isRecord(value) && typeof value.id === 'string' && typeof value.incarnation === 'number';
}

function isHead(value: unknown): boolean {
  return (
    isRecord(value) &&
    isMember(value.owner) &&
    (value.witness === undefined || isMember(value.witness)) &&
    typeof value.commit === 'string' &&
    [value.epoch, value.sequence, value.writtenAt].every(Number.isFinite) &&
    areRecords(value.doubts) &&
    areRecords(value.entries) &&
    areRecords(value.segments) &&
    value.segments.every(({ numbers, lives }) => Array.isArray(numbers) && Array.isArray(lives))
  );
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Whether the value of an object in the store has the form that its key demands. An intermediary may have answered
 * instead of the store, or cut off the value.
 *
 * @example
 * ```ts
 * isReadable('claims/0', '<html>'); // false
 * ```
 * @internal
 */
export function isReadable(key: string, text: string): boolean {
  const value = parse(text);
  if (key === LAYOUT_KEY) {
    return isRecord(value) && Number.isFinite(value.shards);
  }
  return key.startsWith(SEGMENTS_PREFIX) ? areRecords(value) : isHead(value);
}
