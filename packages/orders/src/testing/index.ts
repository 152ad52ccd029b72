/** A fleet of order desks in virtual time, for tests and benchmarks. */
export type * from './types';
export { default as createOrderFleet } from './createOrderFleet';
export { default as createProcessClock } from './createProcessClock';
