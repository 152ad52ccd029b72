/** Open-loop load with seeded plans, and summaries of what the callers saw. */
export type * from './types';
export { default as planLoad } from './planLoad';
export { default as runLoad } from './runLoad';
