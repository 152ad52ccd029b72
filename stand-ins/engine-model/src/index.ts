/** Model of a continuous-batching engine, driven by a real or virtual clock. */
export type {
  CacheEvent,
  ColdStartOptions,
  EngineHardware,
  EngineLoad,
  EngineModel,
  EngineModelOptions,
  EngineRefusal,
  EngineRequest,
  HardwareGeneration,
  RequestAudit,
  StreamEnd,
  StreamListener,
} from './types';
export { default as createEngineModel } from './createEngineModel';
export { default as getHardware } from './getHardware';
export { default as hashPromptPrefixes } from './hashPromptPrefixes';
