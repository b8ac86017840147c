/** Headers that concern one connection and are never passed on. */
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

/** Calls back for each header of a list of names and values in turn. */
function forEachHeader(
  rawHeaders: readonly string[],
  callback: (name: string, value: string) => void,
): void {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    callback(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
}

/** Names that the `Connection` header declares to be of this connection too. */
function getDeclared(rawHeaders: readonly string[]): Set<string> {
  const declared = new Set<string>();
  forEachHeader(rawHeaders, (name, value) => {
    if (name.toLowerCase() === 'connection') {
      value.split(',').forEach((token) => declared.add(token.trim().toLowerCase()));
    }
  });
  return declared;
}

/**
 * The headers of a message that may be passed on.
 *
 * @param rawHeaders - names and values in turn
 * @param dropped - further names to leave out, in lower case
 * @example
 * ```ts
 * getEndToEndHeaders(['Connection', 'close', 'X-Order', '7']); // ['X-Order', '7']
 * ```
 * @public
 */
export function getEndToEndHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const declared = getDeclared(rawHeaders);
  const kept: string[] = [];
  forEachHeader(rawHeaders, (name, value) => {
    const key = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(key) && !declared.has(key) && !dropped.has(key)) {
      kept.push(name, value);
    }
  });
  return kept;
}

/**
 * The first value of a header in a list of names and values in turn.
 *
 * @example
 * ```ts
 * findHeader(['Age', '3'], 'age'); // '3'
 * ```
 * @public
 */
export function findHeader(rawHeaders: readonly string[], wanted: string): string | undefined {
  let found: string | undefined;
  forEachHeader(rawHeaders, (name, value) => {
    if (found === undefined && name.toLowerCase() === wanted) {
      found = value;
    }
  });
  return found;
}
