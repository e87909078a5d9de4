/**
 * Linear regression.
 */

/** A straight line. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/**
 * Fits a line by least squares.
 * @param points - Points as pairs of x and y.
 */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
