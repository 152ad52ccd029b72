import type { Clock, Timer } from '@rattanreel/core';
import type { StoreReply, StoreTransport } from '@rattanreel/platform';
import type { ObjectStoreModel } from './types';

interface ModelTransportOptions {
  readonly model: ObjectStoreModel;
  readonly clock: Clock;
}

/** Creates a transport that calls an in-memory store directly, with the timeouts of a real one. */
export default function createModelTransport(options: ModelTransportOptions): StoreTransport {
  const { model, clock } = options;
  return {
    async call(call, timeout) {
      let timer: Timer | undefined;
      const timedOut = new Promise<StoreReply>((resolve) => {
        timer = clock.after(timeout, () => resolve({ kind: 'lost' }));
      });
      const reply = await Promise.race([model.call(call), timedOut]);
      timer?.cancel();
      return reply;
    },
    openWatch: model.openWatch,
    async close() {
      // The model is closed by its owner.
    },
  };
}
