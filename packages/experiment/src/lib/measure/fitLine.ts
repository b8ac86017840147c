import { linearRegression, linearRegressionLine, rootMeanSquare } from 'simple-statistics';
import { assert } from '@apricotrill/utils';

/** A measured figure at one size. */
export interface Point {
  size: number;
  value: number;
}

/** A straight line through measured points. */
export interface Line {
  /** Increase of the value per unit of size. */
  slope: number;
  /** Value at size zero. */
  intercept: number;
  /** Root mean square of the distances of the points from the line, in the unit of the value. */
  residual: number;
  points: Point[];
}

const MIN_SIZES = 3;

/**
 * Fits a line by least squares.
 *
 * @param points - points at three or more different sizes
 * @throws Error when there are fewer sizes: a line fits two points exactly and shows no residual
 * @example
 * ```ts
 * const line = fitLine(points);
 * const atTwoYears = getLineValue(line, 6900);
 * ```
 * @internal
 */
export function fitLine(points: Point[]): Line {
  const sizes = new Set(points.map(({ size }) => size));
  assert(sizes.size >= MIN_SIZES, `a fit needs ${MIN_SIZES} sizes, not ${sizes.size}`);
  const { m: slope, b: intercept } = linearRegression(
    points.map(({ size, value }) => [size, value]),
  );
  const predict = linearRegressionLine({ m: slope, b: intercept });
  const residual = rootMeanSquare(points.map(({ size, value }) => value - predict(size)));
  return { slope, intercept, residual, points };
}

/**
 * The value of the line at a size.
 *
 * @internal
 */
export function getLineValue({ slope, intercept }: Line, size: number): number {
  return intercept + slope * size;
}
