/** A point that counts as seen from the start. */
interface PriorPoint {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to weighted points, the older the lighter. */
interface LinearRegression {
  predict(x: number): number;
  /** Rise for each unit of x; never negative. */
  slope(): number;
  add(x: number, y: number, weight: number): void;
}

const PRIOR_WEIGHT = 0.05;
const MINIMUM_SPREAD = 1e-9;

/** Fits a rising line with a height at 0 that is not negative; `kept` is the share of weight left after each point. */
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
    slope: () => slope,
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
