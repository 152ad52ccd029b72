/** Stand-in for the platform: an in-memory store, in virtual time or behind a loopback port. */
export type * from './types';
export { default as createModelStoreClient } from './createModelStoreClient';
export { default as createModelTransport } from './createModelTransport';
export { default as createObjectStoreModel } from './createObjectStoreModel';
export { default as createPlatformStandIn } from './createPlatformStandIn';
export { default as runInVirtualTime } from './runInVirtualTime';
