/**
 * Pool scheduler: decides which requests are granted first, at which backend servers and how many
 * at once.
 */
export type * from './types';
export { default as createPoolScheduler } from './createPoolScheduler';
