import type { Generation, Milliseconds } from '@rattanreel/core';
import type { ConfigurationFetcher, ConfigurationPeer } from '../types';

interface ConfigurationFetcherOptions {
  readonly timeout: Milliseconds;
}

const MAXIMUM_SOURCES = 8;

/** Fetches a later configuration from the peers that have it, one at a time. */
export default function createConfigurationFetcher(
  options: ConfigurationFetcherOptions,
): ConfigurationFetcher {
  let targetGeneration: Generation = 0;
  let sources: readonly ConfigurationPeer[] = [];
  let dueAt: Milliseconds | undefined;

  return {
    addSource(generation, source) {
      if (generation > targetGeneration) {
        targetGeneration = generation;
        sources = [];
      }
      const isKnownSource = sources.some(({ entryHost }) => entryHost === source.entryHost);
      if (generation === targetGeneration && !isKnownSource) {
        sources = [...sources, source].slice(-MAXIMUM_SOURCES);
      }
    },
    tryGetDueSource(activeGeneration, now) {
      if (targetGeneration <= activeGeneration || sources.length === 0) {
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
    removeSource(entryHost) {
      sources = sources.filter((source) => source.entryHost !== entryHost);
      dueAt = undefined;
    },
    dueAt: () => dueAt,
    targetGeneration: () => targetGeneration,
  };
}
