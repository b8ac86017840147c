import type { Spread } from './getSpread.js';

const PERCENT = 100;

const MILLISECONDS_PER_SECOND = 1000;

/** A part of one as "99.2 (98.9-99.4)", in hundredths. */
export function formatPercent({ median, min, max }: Spread, digits = 1): string {
  const [middle, low, high] = [median, min, max].map((part) => (part * PERCENT).toFixed(digits));
  return low === high ? middle! : `${middle} (${low}-${high})`;
}

/** Milliseconds in the unit that reads best. */
export function formatSpan(span: number): string {
  if (Number.isNaN(span)) {
    return '-';
  }
  if (span < MILLISECONDS_PER_SECOND) {
    return `${span.toFixed(0)} ms`;
  }
  return `${(span / MILLISECONDS_PER_SECOND).toFixed(1)} s`;
}

/** A rate or a count with its range. */
export function formatCount({ median, min, max }: Spread, digits = 0): string {
  const [middle, low, high] = [median, min, max].map((value) => value.toFixed(digits));
  return low === high ? middle! : `${middle} (${low}-${high})`;
}
