import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type { AcceptedConfiguration, ConfigurationStart } from '../types';

interface StartOptions {
  readonly startWait: Milliseconds;
}

/**
 * Gathers what the store and the peers offer to a starting host. The highest is taken once all asked
 * have answered, or some have and the wait is over: one late answer alone must not bring back an
 * earlier configuration.
 */
export default function createStart(options: StartOptions): ConfigurationStart {
  let awaited = new Set<EntryHostId>();
  let storeAnswered = false;
  let askedAt: Milliseconds | undefined;
  let best: AcceptedConfiguration | undefined;

  return {
    asked(peers, now) {
      awaited = new Set(peers);
      storeAnswered = false;
      askedAt ??= now;
    },
    storeAnswered() {
      storeAnswered = true;
    },
    peerAnswered(peer) {
      awaited.delete(peer);
    },
    offer(configuration) {
      if (best === undefined || configuration.generation > best.generation) {
        best = configuration;
      }
    },
    tryDecide(now) {
      const complete = storeAnswered && awaited.size === 0;
      const waited = askedAt !== undefined && now - askedAt >= options.startWait;
      return complete || waited ? best : undefined;
    },
  };
}
