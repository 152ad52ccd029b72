/** Open-loop load generated from a seed, and summaries of what the callers observed. */
export type * from './types';
export { default as planLoad } from './planLoad';
export { default as runLoad } from './runLoad';
