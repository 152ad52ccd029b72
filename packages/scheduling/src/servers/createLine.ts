/** A point that counts as seen from the start. */
interface PriorPoint {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to weighted points, the older the lighter. */
interface Line {
  at(x: number): number;
  /** Rise for each unit of x; never negative. */
  slope(): number;
  add(x: number, y: number, weight: number): void;
}

const PRIOR_WEIGHT = 0.05;
const SMALLEST_SPREAD = 1e-9;

/** Fits a rising line with a height at 0 that is not negative; `kept` is the share of weight left after each point. */
export default function createLine(prior: readonly PriorPoint[], kept: number): Line {
  let weights = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXX = 0;
  let sumXY = 0;

  function add(x: number, y: number, weight: number): void {
    weights += weight;
    sumX += weight * x;
    sumY += weight * y;
    sumXX += weight * x * x;
    sumXY += weight * x * y;
  }

  function fitSlope(): number {
    const spread = weights * sumXX - sumX * sumX;
    const raw = spread > SMALLEST_SPREAD ? (weights * sumXY - sumX * sumY) / spread : 0;
    const steepest = sumX > 0 ? sumY / sumX : 0;
    return Math.min(Math.max(raw, 0), steepest);
  }

  prior.forEach((point) => add(point.x, point.y, PRIOR_WEIGHT));
  let slope = fitSlope();
  let height = sumY / weights - (slope * sumX) / weights;

  return {
    slope: () => slope,
    at: (x) => height + slope * x,
    add(x, y, weight) {
      weights *= kept;
      sumX *= kept;
      sumY *= kept;
      sumXX *= kept;
      sumXY *= kept;
      add(x, y, weight);
      slope = fitSlope();
      height = sumY / weights - (slope * sumX) / weights;
    },
  };
}
