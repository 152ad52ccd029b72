/** Calls to backend servers: one dispatch a request, resumed streams, typed failures. */
export type {
  BackendServerError,
  CacheEvent,
  EngineClient,
  EngineStreamOptions,
  LoadResponse,
  RequestLifecycle,
  RequestState,
  ServiceResponse,
  ServiceRequest,
  ServiceClient,
  StreamEvent,
  StreamResult,
  StreamUsage,
} from './types';
export { default as createEngineClient } from './createEngineClient';
export { default as createRequestLifecycle } from './createRequestLifecycle';
export { default as createServiceClient } from './createServiceClient';
export { default as hashPromptPrefixes } from './hashPromptPrefixes';
export { default as runEngineStream } from './runEngineStream';
