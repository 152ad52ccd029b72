/**
 * Connections to backend servers: how they end, and how reading from them is paused; connections of
 * callers: how a host that stops closes them, and what they may hold; listening servers.
 */
export type * from './types';
export type * from './intake/types';
export { default as createCallerMemory } from './intake/createCallerMemory';
export { default as createGarbageCollector } from './intake/createGarbageCollector';
export { default as createGrowingBuffer } from './intake/createGrowingBuffer';
export { default as createIntake } from './intake/createIntake';
export { default as createRequestTurns } from './createRequestTurns';
export { default as createTrackedConnector } from './createTrackedConnector';
export { default as getConnectionLimits } from './intake/getConnectionLimits';
export { default as guardResponses } from './guardResponses';
export { default as isDelimitedByClose } from './isDelimitedByClose';
export { default as limitConnections } from './limitConnections';
export { default as listenOnAddress } from './listenOnAddress';
export { default as readBody } from './intake/readBody';
export { default as refuseBodies } from './intake/refuseBodies';
export { default as stopAccepting } from './stopAccepting';
