/** One entry host: the caller API, grants, schedulers and the tasks that connect them. */
export type { EntryHost, EntryHostError, EntryHostOptions } from './types';
export { default as createEntryHost } from './createEntryHost';
