/** HTTP stand-in for a model engine, used by demos, tests and benchmarks. */
export type {
  VersionRegression,
  EngineLoadReport,
  EngineOrder,
  EngineStandIn,
  EngineStandInOptions,
} from './types';
export { default as createEngineStandIn } from './createEngineStandIn';
