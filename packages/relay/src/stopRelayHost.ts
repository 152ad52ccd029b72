import type createHostCore from './createHostCore';
import drainCallerEndpoint from './front/drainCallerEndpoint';

type DrainOptions = Parameters<typeof drainCallerEndpoint>[0];

interface StopOptions extends DrainOptions {
  readonly core: Awaited<ReturnType<typeof createHostCore>>;
  /** Closes the endpoints of readiness and metrics. */
  readonly closeChecks: () => void;
}

/** Stops a host: its requests, and those that it sends for other hosts, end first. */
export default async function stopRelayHost(options: StopOptions): Promise<void> {
  const { core, endpoint } = options;
  core.resign();
  await drainCallerEndpoint({
    ...options,
    endpoint: {
      ...endpoint,
      countActive: () => endpoint.countActive() + core.forwarding.tasks.countActive(),
    },
  });
  endpoint.close();
  options.closeChecks();
  await core.stop();
}
