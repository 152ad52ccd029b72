/** One entry host: callers' front, grants, schedulers and the tasks between them. */
export type { EntryHost, EntryHostError, EntryHostOptions } from './types';
export { default as createEntryHost } from './createEntryHost';
