import { createObjectStore } from '@rattanreel/platform';
import type { ObjectStoreOptions, PlatformClient } from '@rattanreel/platform';
import createModelTransport from './createModelTransport';
import type { ObjectStoreModel } from './types';

interface ModelStoreClientOptions extends ObjectStoreOptions {
  readonly model: ObjectStoreModel;
}

/** Creates the real client over an in-memory store, for tests and benchmarks in virtual time. */
export default function createModelStoreClient(options: ModelStoreClientOptions): PlatformClient {
  const { model, clock } = options;
  return createObjectStore({ ...options, transport: createModelTransport({ model, clock }) });
}
