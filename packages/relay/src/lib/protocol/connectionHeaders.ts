/** Hop-by-hop headers, which are never forwarded. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Calls a function for each header in a list of alternating names and values. */
function forEachHeader(
  rawHeaders: readonly string[],
  callback: (name: string, value: string) => void,
): void {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    callback(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
}

/** Returns the names of further hop-by-hop headers, which the `Connection` header lists. */
function getConnectionTokens(rawHeaders: readonly string[]): Set<string> {
  const declared = new Set<string>();
  forEachHeader(rawHeaders, (name, value) => {
    if (name.toLowerCase() === 'connection') {
      value.split(',').forEach((token) => declared.add(token.trim().toLowerCase()));
    }
  });
  return declared;
}

/**
 * Returns the headers of a message that may be forwarded.
 *
 * @param rawHeaders - alternating names and values
 * @param excluded - further names to omit, in lower case
 * @example
 * ```ts
 * getEndToEndHeaders(['Connection', 'close', 'X-Order', '7']); // ['X-Order', '7']
 * ```
 * @public
 */
export function getEndToEndHeaders(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string> = new Set(),
): string[] {
  const declared = getConnectionTokens(rawHeaders);
  const kept: string[] = [];
  forEachHeader(rawHeaders, (name, value) => {
    const key = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(key) && !declared.has(key) && !excluded.has(key)) {
      kept.push(name, value);
    }
  });
  return kept;
}

/**
 * Returns the first value of a header in a list of alternating names and values.
 *
 * @example
 * ```ts
 * findHeader(['Age', '3'], 'age'); // '3'
 * ```
 * @public
 */
export function findHeader(rawHeaders: readonly string[], wantedName: string): string | undefined {
  let found: string | undefined;
  forEachHeader(rawHeaders, (name, value) => {
    if (found === undefined && name.toLowerCase() === wantedName) {
      found = value;
    }
  });
  return found;
}

/**
 * Returns the values of a header that is a list, which may be spread over several lines (RFC 9110, section 5.3).
 *
 * @example
 * ```ts
 * getListHeader(['Via', 'a, b', 'Via', 'c'], 'via'); // ['a', 'b', 'c']
 * ```
 * @public
 */
export function getListHeader(rawHeaders: readonly string[], wantedName: string): string[] {
  const items: string[] = [];
  forEachHeader(rawHeaders, (name, value) => {
    if (name.toLowerCase() === wantedName) {
      items.push(...value.split(',').map((item) => item.trim()));
    }
  });
  return items;
}
