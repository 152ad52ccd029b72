/** Structured logs, metrics and the log of decisions. */
export type * from './types';
export { default as addGauge } from './addGauge';
export { default as createBoundedLogger } from './createBoundedLogger';
export { default as createDecisionLog } from './createDecisionLog';
export { default as createErrorRecorder } from './createErrorRecorder';
export { default as createLogger } from './createLogger';
export { default as createMetrics } from './createMetrics';
export { default as shareScrapes } from './shareScrapes';
export { default as silentLogger } from './silentLogger';
