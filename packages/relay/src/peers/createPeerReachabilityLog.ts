import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';

/** Time between two checks; a host counts as unreachable one second after its last message. */
const CHECK_INTERVAL: Milliseconds = 500;

interface PeerReachabilityLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lists the reachable hosts. */
  readonly listReachable: () => readonly EntryHostId[];
  /** Called after hosts were lost: from then on no message of theirs tells of their load. */
  readonly onLost?: () => void;
}

interface PeerReachabilityLog {
  stop(): void;
}

/** Logs each peer that becomes unreachable or reachable again. */
export default function createPeerReachabilityLog(
  options: PeerReachabilityLogOptions,
): PeerReachabilityLog {
  const { clock, logger } = options;
  const knownHosts = new Set<EntryHostId>();
  const unreachable = new Set<EntryHostId>();
  let timer: Timer | undefined;

  function checkPeers(): void {
    const reachable = new Set(options.listReachable());
    const lostBefore = unreachable.size;
    knownHosts.forEach((host) => {
      if (!reachable.has(host) && !unreachable.has(host)) {
        unreachable.add(host);
        logger.warn({ peer: host, heard: reachable.size }, 'host lost');
      }
    });
    if (unreachable.size > lostBefore) {
      options.onLost?.();
    }
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
