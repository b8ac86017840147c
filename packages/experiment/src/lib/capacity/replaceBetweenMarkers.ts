const BEGIN = '<!-- capacity:begin -->';

const END = '<!-- capacity:end -->';

/**
 * Puts measured tables into a page that has markers for them, and leaves the rest as it is.
 *
 * @throws Error when the page has no markers, or they stand the wrong way round
 * @example
 * ```ts
 * const page = replaceBetweenMarkers(text, formatCapacity(roles));
 * ```
 * @internal
 */
export function replaceBetweenMarkers(page: string, tables: string): string {
  const begin = page.indexOf(BEGIN);
  const end = page.indexOf(END);
  if (begin < 0 || end < begin) {
    throw new Error(`the page needs ${BEGIN} and, after it, ${END}`);
  }
  return `${page.slice(0, begin + BEGIN.length)}\n\n${tables}\n${page.slice(end)}`;
}
