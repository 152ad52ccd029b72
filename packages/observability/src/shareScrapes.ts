import type { Clock, Milliseconds } from '@rattanreel/core';

/** Time for which one text answers all scrapes. */
const SHARED_TIME: Milliseconds = 500;

interface SharedScrapesOptions<Result> {
  readonly clock: Pick<Clock, 'now'>;
  readonly scrape: () => Promise<Result>;
}

/** Returns a function that scrapes at most twice a second, however often it is called. */
export default function shareScrapes<Result>(
  options: SharedScrapesOptions<Result>,
): () => Promise<Result> {
  let shared: Promise<Result> | undefined;
  let scrapedAt: Milliseconds = -Infinity;

  return () => {
    const now = options.clock.now();
    if (shared === undefined || now - scrapedAt >= SHARED_TIME) {
      scrapedAt = now;
      shared = options.scrape();
    }
    return shared;
  };
}
