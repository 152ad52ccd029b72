import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { PeerAddress } from '../types';

/** Minimum interval of the probes. */
const PROBE_INTERVAL: Milliseconds = 1_000;
/** A response counts only within this time: a slow candidate would hold requests up. */
const PROBE_TIMEOUT: Milliseconds = 50;

interface CandidateProbeOptions {
  readonly clock: Clock;
  readonly sendProbe: (host: PeerAddress) => void;
}

interface CandidateProbe {
  /** Probes a candidate, unless the last probe was sent too recently. */
  send(host: PeerAddress): void;
  /** Ends the probe of a host that responded; returns whether it did so promptly. */
  tryComplete(host: EntryHostId): boolean;
}

/** Finds out whether a candidate responds promptly before it is used as the scheduler. */
export default function createCandidateProbe(options: CandidateProbeOptions): CandidateProbe {
  const { clock } = options;
  let probed: EntryHostId | undefined;
  let sentAt = -Infinity;

  return {
    send(host) {
      if (clock.now() - sentAt >= PROBE_INTERVAL) {
        probed = host.entryHost;
        sentAt = clock.now();
        options.sendProbe(host);
      }
    },
    tryComplete(host) {
      if (probed !== host) {
        return false;
      }
      probed = undefined;
      return clock.now() - sentAt <= PROBE_TIMEOUT;
    },
  };
}
