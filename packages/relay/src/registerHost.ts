import type { Milliseconds } from '@rattanreel/core';
import type { ClusterStateSource, PeerAddress, RelayContext } from './types';

/** Minimum retry interval; jitter is added, since all hosts may start together. */
const REGISTER_RETRY_INTERVAL: Milliseconds = 1_000;

interface RegisterHostOptions {
  readonly context: RelayContext;
  readonly source: ClusterStateSource;
  readonly self: PeerAddress;
  readonly isStopping: () => boolean;
}

/**
 * Registers this host in the store, so that the other hosts can find it. Retries until it succeeds
 * or the host stops; an unreachable store only delays it.
 */
export default function registerHost(options: RegisterHostOptions): void {
  const { context, source, self, isStopping } = options;
  const { clock, logger, random } = context;
  source.register(self).then(
    (isRegistered) => {
      if (!isRegistered && !isStopping()) {
        clock.after(REGISTER_RETRY_INTERVAL * (1 + random.next()), () => registerHost(options));
      }
    },
    (error: unknown) => logger.error({ error: String(error) }, 'failed to register host'),
  );
}
