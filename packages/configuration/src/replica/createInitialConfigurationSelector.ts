import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type { AcceptedConfiguration, InitialConfigurationSelector } from '../types';

interface InitialConfigurationSelectorOptions {
  readonly startTimeout: Milliseconds;
}

/**
 * Collects the configurations that the store and the peers send to a starting host. Selects the
 * highest generation once all have answered, or on a timeout among those received: a single
 * outdated answer must not bring back an earlier configuration.
 */
export default function createInitialConfigurationSelector(
  options: InitialConfigurationSelectorOptions,
): InitialConfigurationSelector {
  let awaitedPeers = new Set<EntryHostId>();
  let hasStoreAnswered = false;
  let requestedAt: Milliseconds | undefined;
  let highest: AcceptedConfiguration | undefined;

  return {
    recordRequests(peers, now) {
      awaitedPeers = new Set(peers);
      hasStoreAnswered = false;
      requestedAt ??= now;
    },
    recordStoreAnswer() {
      hasStoreAnswered = true;
    },
    recordPeerAnswer(peer) {
      awaitedPeers.delete(peer);
    },
    addCandidate(configuration) {
      if (highest === undefined || configuration.generation > highest.generation) {
        highest = configuration;
      }
    },
    trySelect(now) {
      const isComplete = hasStoreAnswered && awaitedPeers.size === 0;
      const isTimedOut = requestedAt !== undefined && now - requestedAt >= options.startTimeout;
      return isComplete || isTimedOut ? highest : undefined;
    },
  };
}
