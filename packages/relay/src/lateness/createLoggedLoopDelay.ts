import type { RelayContext } from '../types';
import createLoopDelay from './createLoopDelay';
import type { LoopDelay } from './types';

/** Measures the event loop delay of this host, and logs when it becomes high or low. */
export default function createLoggedLoopDelay({
  clock,
  logger,
}: Pick<RelayContext, 'clock' | 'logger'>): LoopDelay {
  return createLoopDelay({
    clock,
    onChange({ isHigh, loopDelay }) {
      logger.info({ loopDelay }, isHigh ? 'event loop late' : 'event loop punctual');
    },
  });
}
