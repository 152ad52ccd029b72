import type { Clock, Milliseconds } from '@rattanreel/core';

const MILLISECONDS_PER_SECOND = 1_000;

interface TokenBucketOptions {
  readonly clock: Clock;
  readonly tokensPerSecond: number;
  readonly burst: number;
}

interface TokenBucket {
  /** Takes one token; returns false when there is none. */
  tryTake(): boolean;
  /** Returns the time until a token is available. */
  getWaitTime(): Milliseconds;
}

/** Creates a token bucket that starts full. */
export default function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  const { clock, tokensPerSecond, burst } = options;
  let tokens = burst;
  let refilledAt = clock.now();

  function refill(): void {
    const now = clock.now();
    const gained = ((now - refilledAt) * tokensPerSecond) / MILLISECONDS_PER_SECOND;
    tokens = Math.min(burst, tokens + gained);
    refilledAt = now;
  }

  return {
    tryTake() {
      refill();
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
    getWaitTime() {
      refill();
      const missing = Math.max(0, 1 - tokens);
      return (missing * MILLISECONDS_PER_SECOND) / tokensPerSecond;
    },
  };
}
