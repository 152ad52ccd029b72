/** A fleet of order executors in virtual time, for tests and benchmarks. */
export type * from './types';
export { default as createOrderFleet } from './createOrderFleet';
export { default as createProcessClock } from './createProcessClock';
