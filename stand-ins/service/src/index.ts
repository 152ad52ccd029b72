/** HTTP stand-in for a plain service, used by demos, tests and benchmarks. */
export type {
  ExecutionCount,
  ServiceAudit,
  ServiceFault,
  ServiceStandIn,
  ServiceStandInOptions,
} from './types';
export { default as createServiceStandIn } from './createServiceStandIn';
