/** The relay: routes of requests to pools of unlike backend servers, from any number of entry hosts. */
export type * from './types';
export { default as createRelayHost } from './createRelayHost';
