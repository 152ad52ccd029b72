import type { Milliseconds } from '@rattanreel/core';
import createEstimate from '../decisions/createEstimate';
import createMovingAverage from '../decisions/createMovingAverage';
import type { PoolAverages } from './types';

const AVERAGE_WEIGHT = 0.05;
const INITIAL_FIRST_DATA: Milliseconds = 120;
const INITIAL_CHUNK_INTERVAL: Milliseconds = 30;
const INITIAL_DURATION: Milliseconds = 60;
const INITIAL_MEAN_DURATION: Milliseconds = 400;

/** Creates the averages of a pool, with values that hold until responses were received. */
export default function createPoolAverages(): PoolAverages {
  const weight = AVERAGE_WEIGHT;
  return {
    chunkInterval: createMovingAverage({ initial: INITIAL_CHUNK_INTERVAL, weight }),
    singleChunkDuration: createMovingAverage({ initial: INITIAL_DURATION, weight }),
    timeToFirstData: createEstimate({ prior: INITIAL_FIRST_DATA, weight }),
    duration: createMovingAverage({ initial: INITIAL_MEAN_DURATION, weight }),
    timePerToken: createEstimate({ prior: 0, weight }),
  };
}
