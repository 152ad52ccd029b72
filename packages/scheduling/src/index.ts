/** The decisions of a pool scheduler: what is served first, where, and how much. */
export type * from './types';
export { default as createPoolScheduler } from './createPoolScheduler';
