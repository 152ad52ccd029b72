import type { Milliseconds } from '@rattanreel/core';
import type { ColdStartOptions, WarmUpModel } from './types';

const DEFAULTS: ColdStartOptions = {
  warmUpMilliseconds: 15_000,
  coldSpeedShare: 0.25,
  coldStreamCapacity: 2,
  crashFactor: 4,
  restartMilliseconds: 5_000,
};

/**
 * Minimum speed of an overloaded engine that is not warm, as a share of its speed without overload.
 */
const MINIMUM_OVERLOADED_SPEED_SHARE = 0.1;

interface WarmUpOptions {
  readonly coldStart: Partial<ColdStartOptions>;
  readonly cold: boolean;
  readonly maximumStreams: number;
}

/** Creates the warm-up state of an engine: busy time raises its speed and stream capacity. */
export default function createWarmUpModel(options: WarmUpOptions): WarmUpModel {
  const { warmUpMilliseconds, coldSpeedShare, coldStreamCapacity, crashFactor } = {
    ...DEFAULTS,
    ...options.coldStart,
  };
  let busyMilliseconds: Milliseconds = options.cold ? 0 : warmUpMilliseconds;

  const getWarmUpProgress = (): number => Math.min(1, busyMilliseconds / warmUpMilliseconds);
  const isWarm = (): boolean => busyMilliseconds >= warmUpMilliseconds;
  const getStreamCapacity = (): number =>
    coldStreamCapacity + (options.maximumStreams - coldStreamCapacity) * getWarmUpProgress() ** 2;

  return {
    advance(span) {
      busyMilliseconds += span;
    },
    isWarm,
    getSpeedShare(streams) {
      if (isWarm()) {
        return 1;
      }
      const share = coldSpeedShare + (1 - coldSpeedShare) * getWarmUpProgress();
      const overloadShare = Math.min(1, getStreamCapacity() / Math.max(1, streams));
      return share * Math.max(MINIMUM_OVERLOADED_SPEED_SHARE, overloadShare);
    },
    crashesUnder: (streams) => !isWarm() && streams > getStreamCapacity() * crashFactor,
    reset() {
      busyMilliseconds = 0;
    },
  };
}
