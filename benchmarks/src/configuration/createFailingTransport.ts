import type { Clock } from '@rattanreel/core';
import type { StoreTransport } from '@rattanreel/platform';
import { createModelTransport } from '@rattanreel/stand-in-platform';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';

interface FailingTransportOptions {
  readonly model: ObjectStoreModel;
  readonly clock: Clock;
  readonly isLinkFailed: () => boolean;
}

/**
 * Creates a host's transport to the store. While the link has failed, calls are lost and open
 * watches deliver nothing.
 */
export default function createFailingTransport(options: FailingTransportOptions): StoreTransport {
  const { model, clock, isLinkFailed } = options;
  const transport = createModelTransport({ model, clock });
  return {
    call(call, timeout) {
      if (!isLinkFailed()) {
        return transport.call(call, timeout);
      }
      return new Promise((resolve) => {
        clock.after(timeout, () => resolve({ kind: 'lost' }));
      });
    },
    openWatch: (request, listener) =>
      transport.openWatch(request, (line) => {
        if (!isLinkFailed()) {
          listener(line);
        }
      }),
    close: () => transport.close(),
  };
}
