import type { RefusalReason } from '@rattanreel/scheduling';
import type { ProblemType } from './types';
import problemTypes from './problemTypes';

/** Problem type that a caller sees for each reason of refusal. */
const problemTypeByRefusal: Readonly<Record<RefusalReason, ProblemType>> = {
  queueFull: problemTypes.overloaded,
  evictedByHigherTier: problemTypes.overloaded,
  deadlineCannotBeMet: problemTypes.deadlineCannotBeMet,
  deadlinePassed: problemTypes.deadlineCannotBeMet,
  domainDrained: problemTypes.noBackendServer,
  noBackendServer: problemTypes.noBackendServer,
  tooLargeForAnyBackendServer: problemTypes.requestTooLarge,
};

export default problemTypeByRefusal;
