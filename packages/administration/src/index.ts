/** The administration API, with typed errors and an OpenAPI document. */
export type {
  AdministrationServices,
  DeploymentStatus,
  DomainStatus,
  ExplainedDecision,
  HostStatus,
  MoveError,
  MoveRequest,
  MoveStatus,
  ScheduledPoolStatus,
  SettingsInForce,
} from './types';
export { default as createAdministrationApplication } from './createAdministrationApplication';
