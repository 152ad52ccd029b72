import type { Generation, Milliseconds } from '@rattanreel/core';
import type { ConfigurationFetch, ConfigurationPeer } from '../types';

interface FetchOptions {
  readonly timeout: Milliseconds;
}

const SOURCES_KEPT = 8;

/** Fetches a later configuration from the peers that have it, one after the other. */
export default function createFetch(options: FetchOptions): ConfigurationFetch {
  let wanted: Generation = 0;
  let sources: readonly ConfigurationPeer[] = [];
  let dueAt: Milliseconds | undefined;

  return {
    want(generation, source) {
      if (generation > wanted) {
        wanted = generation;
        sources = [];
      }
      const known = sources.some(({ entryHost }) => entryHost === source.entryHost);
      if (generation === wanted && !known) {
        sources = [...sources, source].slice(-SOURCES_KEPT);
      }
    },
    tryTakeSource(have, now) {
      if (wanted <= have || sources.length === 0) {
        dueAt = undefined;
        return undefined;
      }
      if (dueAt !== undefined && now < dueAt) {
        return undefined;
      }
      const [next, ...rest] = sources;
      sources = [...rest, next!];
      dueAt = now + options.timeout;
      return next;
    },
    tryGetSource: (entryHost) => sources.find((source) => source.entryHost === entryHost),
    drop(entryHost) {
      sources = sources.filter((source) => source.entryHost !== entryHost);
      dueAt = undefined;
    },
    dueAt: () => dueAt,
    wanted: () => wanted,
  };
}
