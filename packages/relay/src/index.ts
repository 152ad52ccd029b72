/**
 * The relay: routes requests from any number of entry hosts to pools of heterogeneous backend
 * servers.
 */
export type * from './types';
export { default as createRelayHost } from './createRelayHost';
export type * from './duties/types';
export type * from './explaining/types';
