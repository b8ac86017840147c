/**
 * Decodes a percent-encoded part of a path.
 *
 * @returns undefined if it is not valid
 * @example
 * ```ts
 * decodePathSegment('a%2Fb'); // 'a/b'
 * decodePathSegment('%zz'); // undefined
 * ```
 * @public
 */
export function decodePathSegment(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
