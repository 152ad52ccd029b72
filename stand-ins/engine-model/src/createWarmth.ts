import type { Milliseconds } from '@rattanreel/core';
import type { ColdStartOptions, Warmth } from './types';

const DEFAULTS: ColdStartOptions = {
  warmUpMilliseconds: 15_000,
  coldSpeedShare: 0.25,
  bearableStreams: 2,
  fallOverFactor: 4,
  restartMilliseconds: 5_000,
};

/** Slowest that an overburdened cold engine gets, as a share of its cold speed. */
const LOWEST_OVERBURDENED_SHARE = 0.1;

interface WarmthOptions {
  readonly coldStart: Partial<ColdStartOptions>;
  readonly cold: boolean;
  readonly maximumStreams: number;
}

/** Warmth of an engine: it gains it by time spent at work, and bears little until it has. */
export default function createWarmth(options: WarmthOptions): Warmth {
  const { warmUpMilliseconds, coldSpeedShare, bearableStreams, fallOverFactor } = {
    ...DEFAULTS,
    ...options.coldStart,
  };
  let worked: Milliseconds = options.cold ? 0 : warmUpMilliseconds;

  const warmShare = (): number => Math.min(1, worked / warmUpMilliseconds);
  const isWarm = (): boolean => worked >= warmUpMilliseconds;
  const bearable = (): number =>
    bearableStreams + (options.maximumStreams - bearableStreams) * warmShare() ** 2;

  return {
    advance(span) {
      worked += span;
    },
    isWarm,
    speedShare(streams) {
      if (isWarm()) {
        return 1;
      }
      const share = coldSpeedShare + (1 - coldSpeedShare) * warmShare();
      const overburdened = Math.min(1, bearable() / Math.max(1, streams));
      return share * Math.max(LOWEST_OVERBURDENED_SHARE, overburdened);
    },
    fallsOver: (streams) => !isWarm() && streams > bearable() * fallOverFactor,
    reset() {
      worked = 0;
    },
  };
}
