/** Connections to backend servers: how they end, and how reading is paused. Listening servers. */
export type * from './types';
export { default as createTrackedConnector } from './createTrackedConnector';
export { default as guardResponses } from './guardResponses';
export { default as isDelimitedByClose } from './isDelimitedByClose';
export { default as listenOnAddress } from './listenOnAddress';
