/** What is told of each request for logs and metrics. */
import type { AttemptFigures, PoolState } from '../pools/types';
import type { AttemptEnd, RefusalReason, ServerAccount } from '../types';
import type { Rejection, RequestPlan } from './types';

export interface RequestObserver {
  rejected(requestId: string, rejection: Rejection): void;
  refused(plan: RequestPlan, reason: RefusalReason, retryAfter: number, pool?: PoolState): void;
  dispatched(plan: RequestPlan, server: ServerAccount, attempt: number, waiting: number): void;
  attemptEnded(plan: RequestPlan, server: ServerAccount, end: AttemptEnd): void;
  completed(plan: RequestPlan, server: ServerAccount, figures: AttemptFigures): void;
  failed(plan: RequestPlan, status: number, code: string): void;
  brokenOff(plan: RequestPlan, reason: 'timeout' | 'serverBroke'): void;
  callerGone(plan: RequestPlan): void;
}
