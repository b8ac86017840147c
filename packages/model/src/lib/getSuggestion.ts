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

/** Words the right choice for a mistyped word: the near candidate, or all of them. */
export function getChoice(word: string, candidates: readonly string[]): string {
  const suggestion = getSuggestion(word, candidates);
  if (suggestion !== undefined) {
    return `"${suggestion}"`;
  }
  return candidates.length === 0 ? 'none' : `one of ${candidates.join(', ')}`;
}
