/** A data point that the regression starts with. */
interface PriorPoint {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to weighted points, older points with less weight. */
interface LinearRegression {
  predict(x: number): number;
  /** Increase of y per unit of x; never negative. */
  getSlope(): number;
  add(x: number, y: number, weight: number): void;
}

const PRIOR_WEIGHT = 0.05;
const MINIMUM_SPREAD = 1e-9;

/**
 * Fits a non-decreasing line with a non-negative intercept. `decayFactor` is the share of their
 * weight that points keep when another is added.
 */
export default function createLinearRegression(
  prior: readonly PriorPoint[],
  decayFactor: number,
): LinearRegression {
  let sumWeights = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXX = 0;
  let sumXY = 0;

  function add(x: number, y: number, weight: number): void {
    sumWeights += weight;
    sumX += weight * x;
    sumY += weight * y;
    sumXX += weight * x * x;
    sumXY += weight * x * y;
  }

  function fitSlope(): number {
    const spread = sumWeights * sumXX - sumX * sumX;
    const raw = spread > MINIMUM_SPREAD ? (sumWeights * sumXY - sumX * sumY) / spread : 0;
    const maximumSlope = sumX > 0 ? sumY / sumX : 0;
    return Math.min(Math.max(raw, 0), maximumSlope);
  }

  prior.forEach((point) => add(point.x, point.y, PRIOR_WEIGHT));
  let slope = fitSlope();
  let intercept = sumY / sumWeights - (slope * sumX) / sumWeights;

  return {
    getSlope: () => slope,
    predict: (x) => intercept + slope * x,
    add(x, y, weight) {
      sumWeights *= decayFactor;
      sumX *= decayFactor;
      sumY *= decayFactor;
      sumXX *= decayFactor;
      sumXY *= decayFactor;
      add(x, y, weight);
      slope = fitSlope();
      intercept = sumY / sumWeights - (slope * sumX) / sumWeights;
    },
  };
}
