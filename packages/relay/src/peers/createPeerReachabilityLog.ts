import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';

/** Time between two looks; a host counts as silent a second after its last word. */
const CHECK_INTERVAL: Milliseconds = 500;

interface PeerReachabilityLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Hosts heard lately. */
  readonly listReachable: () => readonly EntryHostId[];
}

interface PeerReachabilityLog {
  stop(): void;
}

/** Writes a line for each other host that falls silent or is heard again. */
export default function createPeerReachabilityLog(
  options: PeerReachabilityLogOptions,
): PeerReachabilityLog {
  const { clock, logger } = options;
  const knownHosts = new Set<EntryHostId>();
  const unreachable = new Set<EntryHostId>();
  let timer: Timer | undefined;

  function checkPeers(): void {
    const reachable = new Set(options.listReachable());
    knownHosts.forEach((host) => {
      if (!reachable.has(host) && !unreachable.has(host)) {
        unreachable.add(host);
        logger.warn({ peer: host, heard: reachable.size }, 'host lost');
      }
    });
    reachable.forEach((host) => {
      knownHosts.add(host);
      if (unreachable.delete(host)) {
        logger.info({ peer: host, heard: reachable.size }, 'host regained');
      }
    });
    timer = clock.after(CHECK_INTERVAL, checkPeers);
  }

  checkPeers();
  return { stop: () => timer?.cancel() };
}
