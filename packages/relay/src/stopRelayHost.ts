import type { Clock, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import { sleep } from '@rattanreel/platform';
import type createHostCore from './createHostCore';
import drainCallerEndpoint from './front/drainCallerEndpoint';
import type { CallerEndpoint } from './front/types';
import type { StopDeadline } from './lateness/types';

/** Part of the grace period reserved for the last log lines and the exit. */
const EXIT_MARGIN: Milliseconds = 200;

interface StopRelayHostOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly core: Pick<Awaited<ReturnType<typeof createHostCore>>, 'resign' | 'stop' | 'forwarding'>;
  readonly callerEndpoint: CallerEndpoint;
  /** Closed once callers have been answered. */
  readonly otherEndpoints: readonly { close(): void }[];
  readonly stopDeadline: StopDeadline;
  /** Time from now within which the process must have ended. */
  readonly gracePeriod: Milliseconds;
}

/** Drains an entry host and closes it; returns within the grace period. */
export default async function stopRelayHost(options: StopRelayHostOptions): Promise<void> {
  const { clock, core, callerEndpoint } = options;
  const closesBy = clock.now() + options.gracePeriod - EXIT_MARGIN;
  core.resign();
  await drainCallerEndpoint({
    ...options,
    endpoint: {
      ...callerEndpoint,
      countActive: () => callerEndpoint.countActive() + core.forwarding.tasks.countActive(),
    },
  });
  callerEndpoint.close();
  options.otherEndpoints.forEach((endpoint) => endpoint.close());
  // A call of a store that does not respond would hold the process.
  await Promise.race([core.stop(), sleep(clock, Math.max(closesBy - clock.now(), 0))]);
}
