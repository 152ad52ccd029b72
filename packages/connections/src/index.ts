/** Connections to backend servers: how they end. */
export type * from './types';
export { default as createTrackedConnector } from './createTrackedConnector';
export { default as guardResponses } from './guardResponses';
export { default as isDelimitedByClose } from './isDelimitedByClose';
