/**
 * Connections to backend servers: how they end, and how reading from them is paused; connections of
 * callers: how a host that stops closes them; listening servers.
 */
export type * from './types';
export { default as createRequestTurns } from './createRequestTurns';
export { default as createTrackedConnector } from './createTrackedConnector';
export { default as guardResponses } from './guardResponses';
export { default as isDelimitedByClose } from './isDelimitedByClose';
export { default as listenOnAddress } from './listenOnAddress';
export { default as stopAccepting } from './stopAccepting';
