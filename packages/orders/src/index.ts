/** Claims and tickets: at-most-once execution of non-idempotent requests. */
export type * from './types';
export { default as createClaimSweeper } from './createClaimSweeper';
export { default as createOrderExecutor } from './createOrderExecutor';
