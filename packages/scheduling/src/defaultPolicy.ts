import type { SchedulerPolicy } from './types';

/** Default parameters of a pool scheduler. */
const defaultPolicy: SchedulerPolicy = {
  queueCapacity: 10_000,
  grantLifetime: 500,
  handoverWait: 1_000,
  slowStartStreams: 1,
  spillWaitThreshold: 100,
};

export default defaultPolicy;
