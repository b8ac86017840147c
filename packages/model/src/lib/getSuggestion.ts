import { closest, distance } from 'fastest-levenshtein';

/** Maximum edit distance of a suggestion, relative to the length of the longer word. */
const MAX_DISTANCE_RATIO = 0.5;

/** Returns the candidate closest to a mistyped word, or undefined when none is similar enough. */
export function getSuggestion(word: string, candidates: readonly string[]): string | undefined {
  if (candidates.length === 0) {
    return undefined;
  }
  const nearest = closest(word.toLowerCase(), candidates);
  const isSimilar =
    distance(word.toLowerCase(), nearest.toLowerCase()) <=
    Math.max(word.length, nearest.length) * MAX_DISTANCE_RATIO;
  return isSimilar ? nearest : undefined;
}

/** Longer lists of choices are replaced by their number. */
const MAX_LISTED_CHOICES = 10;

/** Describes the valid choices for a mistyped word: a similar candidate, or else a short list. */
export function getExpectedChoice(word: string, candidates: readonly string[]): string {
  const suggestion = getSuggestion(word, candidates);
  if (suggestion !== undefined) {
    return `"${suggestion}"`;
  }
  if (candidates.length > MAX_LISTED_CHOICES) {
    return `one of the ${candidates.length} that exist`;
  }
  return candidates.length === 0 ? 'none' : `one of ${candidates.join(', ')}`;
}
