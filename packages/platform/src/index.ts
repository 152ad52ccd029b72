/** Client of the platform's object API: calls, watches and leases. */
export type * from './types';
export { default as createHttpClient } from './createHttpClient';
export { default as createLease } from './createLease';
export { default as createObjectStore } from './createObjectStore';
export { default as createObjectStoreClient } from './createObjectStoreClient';
export { default as createTokenBucket } from './createTokenBucket';
export { default as retryConditionalWrite } from './retryConditionalWrite';
export { default as sleep } from './sleep';
