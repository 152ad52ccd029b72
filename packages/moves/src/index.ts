/** Moves of a pool's traffic from one version to another: plan, regression tests, local veto and controller. */
export type * from './types';
export { default as callRecordStore } from './callRecordStore';
export { default as changeMoveRecord } from './changeMoveRecord';
export { default as createMoveRecord } from './createMoveRecord';
export { default as createRegressionDetector } from './createRegressionDetector';
export { default as getMoveIdentity } from './getMoveIdentity';
export { default as isSameMove } from './isSameMove';
export { default as planMove } from './planMove';
export { default as getSharesInForce } from './getSharesInForce';
export { default as createMoveController } from './createMoveController';
export { default as createMoveControllerTask } from './createMoveControllerTask';
export { default as createMoveGuard } from './createMoveGuard';
