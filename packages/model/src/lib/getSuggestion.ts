import { closest, distance } from 'fastest-levenshtein';

/** A word further away than this share of its length is not a slip of the same word. */
const LARGEST_DISTANCE_SHARE = 0.5;

/** The candidate that a mistyped word most likely meant, or undefined when none is near. */
export function getSuggestion(word: string, candidates: readonly string[]): string | undefined {
  if (candidates.length === 0) {
    return undefined;
  }
  const nearest = closest(word.toLowerCase(), candidates);
  const isNear =
    distance(word.toLowerCase(), nearest.toLowerCase()) <=
    Math.max(word.length, nearest.length) * LARGEST_DISTANCE_SHARE;
  return isNear ? nearest : undefined;
}

/** More choices than this are not worth reading. */
const MOST_SHOWN = 10;

/** Words the right choice for a mistyped word: the near candidate, or all of a few. */
export function getChoice(word: string, candidates: readonly string[]): string {
  const suggestion = getSuggestion(word, candidates);
  if (suggestion !== undefined) {
    return `"${suggestion}"`;
  }
  if (candidates.length > MOST_SHOWN) {
    return `one of the ${candidates.length} that exist`;
  }
  return candidates.length === 0 ? 'none' : `one of ${candidates.join(', ')}`;
}
