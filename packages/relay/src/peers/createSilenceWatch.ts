import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';

/** Time between two looks; a host counts as silent a second after its last word. */
const LOOK_INTERVAL: Milliseconds = 500;

interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Hosts heard lately. */
  readonly listHeard: () => readonly EntryHostId[];
}

interface SilenceWatch {
  stop(): void;
}

/** Writes a line for each other host that falls silent or is heard again. */
export default function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
  const { clock, logger } = options;
  const known = new Set<EntryHostId>();
  const silent = new Set<EntryHostId>();
  let timer: Timer | undefined;

  function look(): void {
    const heard = new Set(options.listHeard());
    known.forEach((host) => {
      if (!heard.has(host) && !silent.has(host)) {
        silent.add(host);
        logger.warn({ peer: host, heard: heard.size }, 'host lost');
      }
    });
    heard.forEach((host) => {
      known.add(host);
      if (silent.delete(host)) {
        logger.info({ peer: host, heard: heard.size }, 'host regained');
      }
    });
    timer = clock.after(LOOK_INTERVAL, look);
  }

  look();
  return { stop: () => timer?.cancel() };
}
