/** Calls to backend servers: at most one dispatch per request, resumable streams, typed errors. */
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
