/** Moves of a pool's traffic from one version to another: plan, judgement, local veto and controller. */
export type * from './types';
export { default as callRecordStore } from './callRecordStore';
export { default as changeMoveRecord } from './changeMoveRecord';
export { default as createMoveRecord } from './createMoveRecord';
export { default as createVersionJudge } from './createVersionJudge';
export { default as identifyMove } from './identifyMove';
export { default as isSameMove } from './isSameMove';
export { default as planMove } from './planMove';
export { default as sharesInForce } from './sharesInForce';
export { default as createMoveController } from './createMoveController';
export { default as createMoveControllerTask } from './createMoveControllerTask';
export { default as createMoveGuard } from './createMoveGuard';
