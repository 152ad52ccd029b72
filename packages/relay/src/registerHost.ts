import type { Milliseconds } from '@rattanreel/core';
import type { ClusterStateSource, PeerAddress, RelayContext } from './types';

/** Time between two tries to be listed; spread, since all hosts may start together. */
const REGISTER_RETRY_INTERVAL: Milliseconds = 1_000;

interface RegisterHostOptions {
  readonly context: RelayContext;
  readonly source: ClusterStateSource;
  readonly self: PeerAddress;
  readonly isStopping: () => boolean;
}

/** Goes on until the other hosts can find this one; a store that is out of reach delays it only. */
export default function registerHost(options: RegisterHostOptions): void {
  const { context, source, self, isStopping } = options;
  const { clock, logger, random } = context;
  source.register(self).then(
    (isRegistered) => {
      if (!isRegistered && !isStopping()) {
        clock.after(REGISTER_RETRY_INTERVAL * (1 + random.next()), () => registerHost(options));
      }
    },
    (error: unknown) => logger.error({ error: String(error) }, 'host not registered'),
  );
}
