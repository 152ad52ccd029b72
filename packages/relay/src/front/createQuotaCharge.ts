import type { Admission } from '../admission/types';
import type { AttemptOutcome } from '../types';
import type { RequestPlan } from './types';

interface QuotaCharge {
  /** Returns the cost to charge with the next slot. */
  getDue(): number;
  /** Records that a slot was granted, with which the cost was charged. */
  recordCharged(): void;
  /** Refunds the cost of a request that has not run. */
  refund(): void;
  /** Refunds the cost of a request whose caller has gone if it was never sent. */
  refundUnsent(end: AttemptOutcome, mayHaveRun: boolean): void;
}

/** Makes sure that a request is charged to its customer's quota once. */
export default function createQuotaCharge(
  admission: Pick<Admission, 'refund'>,
  { customer, cost }: RequestPlan,
): QuotaCharge {
  let isCharged = false;

  function refund(): void {
    if (isCharged && customer !== undefined) {
      admission.refund(customer.name, cost);
    }
  }

  return {
    getDue: () => (isCharged ? 0 : cost),
    recordCharged() {
      isCharged = true;
    },
    refund,
    refundUnsent({ kind }, mayHaveRun) {
      if (kind === 'notSent' && !mayHaveRun) {
        refund();
      }
    },
  };
}
