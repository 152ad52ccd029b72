/** Claims and tickets: at most one run for each non-idempotent request. */
export type * from './types';
export { default as createClaimSweeper } from './createClaimSweeper';
export { default as createOrderExecutor } from './createOrderExecutor';
