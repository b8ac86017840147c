/** Matches empty segments, escapes, parameters, dot segments and queries; other paths are normal. */
const NOT_NORMAL = /\/\/|[%?#;\\]|\/\.{1,2}(\/|$)/;
/** Base for parsing a path as a URL; no request is sent there. */
const PLACEHOLDER_ORIGIN = 'http://host';

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}

/**
 * Returns the canonical form of a path, which rules are matched against: without query, `;` parameters,
 * empty segments and dot segments, and with escapes decoded. Otherwise a caller could reach `/holds`
 * as `/x/../holds` or `/%68olds` under another rule, which could give a hold a class whose requests may
 * be repeated.
 *
 * @param path - the path and query, as sent by the caller
 * @example
 * ```ts
 * normalizePath('/x/../holds//7?now'); // '/holds/7'
 * ```
 * @public
 */
export function normalizePath(path: string): string {
  if (!NOT_NORMAL.test(path)) {
    return path;
  }
  const pathOnly = path.split(/[?#]/)[0]!;
  const decoded = pathOnly
    .split('/')
    .map(decodeSegment)
    .join('/')
    .replace(/[\\/]+/g, '/');
  const escaped = decoded
    .split('/')
    .map((segment) => encodeURIComponent(segment.split(';')[0]!))
    .join('/');
  return new URL(escaped, PLACEHOLDER_ORIGIN).pathname.split('/').map(decodeSegment).join('/');
}

/** Whether a normalized path is the prefix itself or lies below it. */
export function isPathUnder(path: string, prefix: string): boolean {
  const base = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return path.startsWith(base) && (path.length === base.length || path[base.length] === '/');
}
