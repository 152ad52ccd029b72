/** Types, clocks, random numbers and assertions shared by all packages of the workspace. */
export type * from './types';
export { default as coalesceRuns } from './coalesceRuns';
export { default as createPriorityQueue } from './createPriorityQueue';
export { default as createRandom } from './createRandom';
export { default as createSystemClock } from './createSystemClock';
export { default as createSystemRandom } from './createSystemRandom';
export { default as createVirtualClock } from './createVirtualClock';
export { default as Debug } from './Debug';
export { default as fail } from './fail';
export { default as isReadableName } from './isReadableName';
export { default as listChangedFields } from './listChangedFields';
export { default as ok } from './ok';
export { default as parseAddress } from './parseAddress';
export { default as readTextFile } from './readTextFile';
