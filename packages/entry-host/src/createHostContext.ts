import { createSystemClock, createSystemRandom } from '@rattanreel/core';
import { createEngineClient, createServiceClient } from '@rattanreel/dispatch';
import { createIncarnation } from '@rattanreel/membership';
import { createDecisionLog, createLogger, createMetrics } from '@rattanreel/observability';
import { createObjectStoreClient } from '@rattanreel/platform';
import createAdmission from './createAdmission';
import type { EntryHostOptions, HostContext } from './types';

const MAXIMUM_IN_FLIGHT_REQUESTS = 4_096;

/** Creates the dependencies that all tasks of one entry host share. */
export default function createHostContext(options: EntryHostOptions): HostContext {
  const { settings } = options;
  const { entryHost } = settings;
  const clock = options.clock ?? createSystemClock();
  const random = options.random ?? createSystemRandom();
  const logger = options.logger ?? createLogger(settings.logLevel, { entryHost });
  const metrics = createMetrics();
  return {
    settings,
    clock,
    random,
    incarnation: createIncarnation(clock.wallTime().getTime(), random),
    logger,
    metrics,
    decisions: createDecisionLog({ logger, clock, metrics }),
    engineClient: createEngineClient(),
    serviceClient: createServiceClient(),
    store: createObjectStoreClient({ url: settings.platformUrl, clock, random }),
    admission: createAdmission(MAXIMUM_IN_FLIGHT_REQUESTS),
  };
}
