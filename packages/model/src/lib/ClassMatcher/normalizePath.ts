/** Two slashes in a row, an escape, a dot segment or a query: paths without them are normal. */
const NEEDS_WORK = /\/\/|[%?#;\\]|\/\.{1,2}(\/|$)/;
/** The base only serves to parse the path; nothing is asked there. */
const ANY_ORIGIN = 'http://host';

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}

/**
 * The one spelling of a path that rules are held against: no query, no `;` parameters, no empty or
 * dot segments, escapes decoded. Without it a caller who writes `/x/../holds` or `/%68olds` would reach the holds
 * of a service under another rule, and a hold could be given a class that may be repeated.
 *
 * @param path - the path and query as the caller sent them
 * @example
 * ```ts
 * getNormalPath('/x/../holds//7?now'); // '/holds/7'
 * ```
 * @public
 */
export function normalizePath(path: string): string {
  if (!NEEDS_WORK.test(path)) {
    return path;
  }
  const bare = path.split(/[?#]/)[0]!;
  const decoded = bare
    .split('/')
    .map(decodeSegment)
    .join('/')
    .replace(/[\\/]+/g, '/');
  const escaped = decoded
    .split('/')
    .map((segment) => encodeURIComponent(segment.split(';')[0]!))
    .join('/');
  return new URL(escaped, ANY_ORIGIN).pathname.split('/').map(decodeSegment).join('/');
}

/** Whether a normal path is the prefix itself or lies below it. */
export function isPathUnder(path: string, prefix: string): boolean {
  const base = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return path.startsWith(base) && (path.length === base.length || path[base.length] === '/');
}
