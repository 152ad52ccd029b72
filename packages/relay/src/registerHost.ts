import type { Milliseconds } from '@rattanreel/core';
import mustRegister from './decisions/mustRegister';
import type { ClusterStateSource, PeerAddress, RelayContext } from './types';

/** Minimum retry interval; jitter is added, since all hosts may start together. */
const REGISTER_RETRY_INTERVAL: Milliseconds = 1_000;
/**
 * When the whole system starts, hosts with at least this capacity register at once and the others
 * over a span of time after them, so that those who register are the ones with most capacity.
 */
const LARGE_CAPACITY = 1;
const BOOTSTRAP_DELAY: Milliseconds = 600;
const BOOTSTRAP_SPAN: Milliseconds = 1_600;

interface RegisterHostOptions {
  readonly context: RelayContext;
  readonly source: ClusterStateSource;
  readonly self: PeerAddress;
  /** Whether the whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Whether enough hosts may be registered without this one. */
  readonly isOptional: boolean;
  readonly isStopping: () => boolean;
}

function getDelay({ context, self, isBootstrap, isOptional }: RegisterHostOptions): Milliseconds {
  if (!isOptional || self.capacity >= LARGE_CAPACITY) {
    return 0;
  }
  return isBootstrap ? BOOTSTRAP_DELAY + BOOTSTRAP_SPAN * context.random.next() : 0;
}

async function tryRegister({ source, self, isOptional }: RegisterHostOptions): Promise<boolean> {
  if (isOptional) {
    const listed = await source.listPeers();
    const isNeeded = mustRegister({ ownDomain: self.failureDomain, registered: listed?.peers });
    if (!isNeeded) {
      return true;
    }
  }
  return source.register(self);
}

/**
 * Registers this host in the store, so that the other hosts can find it, unless enough hosts of its
 * failure domain are registered. Retries until it succeeds or the host stops; an unreachable store
 * only delays it.
 */
export default function registerHost(options: RegisterHostOptions): void {
  const { clock, logger, random } = options.context;

  function attempt(): void {
    if (options.isStopping()) {
      return;
    }
    tryRegister(options).then(
      (isDone) => {
        if (!isDone) {
          clock.after(REGISTER_RETRY_INTERVAL * (1 + random.next()), attempt);
        }
      },
      (error: unknown) => logger.error({ error: String(error) }, 'failed to register host'),
    );
  }

  clock.after(getDelay(options), attempt);
}
