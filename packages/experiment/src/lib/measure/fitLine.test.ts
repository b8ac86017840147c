import { fitLine, getLineValue } from './fitLine.js';

describe('fitLine', () => {
  it('finds slope, intercept and zero residual for points on a line', () => {
    const line = fitLine([10, 100, 1000].map((size) => ({ size, value: 5 + 0.25 * size })));
    expect(line.slope).toBeCloseTo(0.25);
    expect(line.intercept).toBeCloseTo(5);
    expect(line.residual).toBeCloseTo(0);
    expect(getLineValue(line, 6900)).toBeCloseTo(1730);
  });

  it('computes the residual of points off the line', () => {
    const line = fitLine([
      { size: 0, value: 1 },
      { size: 0, value: -1 },
      { size: 10, value: 1 },
      { size: 10, value: -1 },
      { size: 20, value: 1 },
      { size: 20, value: -1 },
    ]);
    expect(line.slope).toBeCloseTo(0);
    expect(line.residual).toBeCloseTo(1);
  });

  it('refuses fewer than three sizes', () => {
    const points = [1, 1, 2].map((size) => ({ size, value: size }));
    expect(() => fitLine(points)).toThrow('3 sizes');
  });
});
