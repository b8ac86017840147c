import { linearRegression, linearRegressionLine, rootMeanSquare } from 'simple-statistics';
import { assert } from '@apricotrill/utils';

/** A measured figure at one size. */
export interface Point {
  size: number;
  value: number;
}

/** A straight line through measured points. */
export interface Line {
  /** What one more unit of size costs. */
  slope: number;
  /** What is paid at size zero. */
  intercept: number;
  /** Root mean square of what the line misses the points by, in the figure's unit. */
  residual: number;
  points: Point[];
}

const FEWEST_SIZES = 3;

/**
 * Fits a line by least squares.
 *
 * @param points - at three or more different sizes
 * @throws Error when there are fewer sizes: two points fit any line, and show no spread
 * @example
 * ```ts
 * const line = fitLine(points);
 * const atTwoYears = getLineValue(line, 6900);
 * ```
 * @internal
 */
export function fitLine(points: Point[]): Line {
  const sizes = new Set(points.map(({ size }) => size));
  assert(sizes.size >= FEWEST_SIZES, `a fit needs ${FEWEST_SIZES} sizes, not ${sizes.size}`);
  const { m: slope, b: intercept } = linearRegression(
    points.map(({ size, value }) => [size, value]),
  );
  const predict = linearRegressionLine({ m: slope, b: intercept });
  const residual = rootMeanSquare(points.map(({ size, value }) => value - predict(size)));
  return { slope, intercept, residual, points };
}

/**
 * What the line says for a size.
 *
 * @internal
 */
export function getLineValue({ slope, intercept }: Line, size: number): number {
  return intercept + slope * size;
}
