import createHttpTransport from './createHttpTransport';
import createObjectStore from './createObjectStore';
import type { ObjectStoreOptions, PlatformClient } from './types';

interface ObjectStoreClientOptions extends ObjectStoreOptions {
  /** Base address of the object API, for example `http://127.0.0.1:7000`. */
  readonly url: string;
}

/** Creates a client of the object API over HTTP. */
export default function createObjectStoreClient(options: ObjectStoreClientOptions): PlatformClient {
  const transport = createHttpTransport({ url: options.url, clock: options.clock });
  return createObjectStore({ ...options, transport });
}
