import type { GrantResult } from '../scheduling/types';
import type { ProblemType } from './types';
import problemTypes from './problemTypes';

type RefusalReason = Extract<GrantResult, { readonly kind: 'refused' }>['reason'];

/** Problem type that a caller sees for each reason of refusal. */
const problemTypeByRefusal: Readonly<Record<RefusalReason, ProblemType>> = {
  queueFull: problemTypes.overloaded,
  evictedByHigherTier: problemTypes.overloaded,
  deadlineCannotBeMet: problemTypes.deadlineCannotBeMet,
  deadlinePassed: problemTypes.deadlineCannotBeMet,
  domainDrained: problemTypes.noBackendServer,
  noBackendServer: problemTypes.noBackendServer,
  stopping: problemTypes.shuttingDown,
  tooLargeForAnyBackendServer: problemTypes.requestTooLarge,
};

export default problemTypeByRefusal;
