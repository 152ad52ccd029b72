import type { Clock, Random } from '@rattanreel/core';
import getRetryDelay from '../decisions/getRetryDelay';
import tryGetLatePriority from '../decisions/tryGetLatePriority';
import type { QuotaPreview, SharedQuota } from '../decisions/types';
import type { PoolPreview, PoolQueue, Pools } from '../pools/types';
import type { Priority } from '../types';
import type { SlotOutcome, SlotPreview, SlotQuery } from './types';

interface PreviewSlotOptions {
  readonly clock: Clock;
  readonly pools: Pick<Pools, 'getQueue'>;
  readonly quota: Pick<SharedQuota, 'preview'>;
  /** Random numbers of the query. */
  readonly random: Random;
}

function previewQuota(
  { quota, clock }: PreviewSlotOptions,
  { customer, cost }: SlotQuery,
): QuotaPreview | undefined {
  return customer === undefined || cost === 0
    ? undefined
    : quota.preview(customer, cost, clock.now());
}

function getOutcome(
  { clock, random }: PreviewSlotOptions,
  queue: PoolQueue,
  query: SlotQuery,
  { outcome, state }: PoolPreview,
): SlotOutcome {
  const { priority } = query;
  switch (outcome.kind) {
    case 'granted':
      return outcome;
    case 'waiting':
      return { ...outcome, expectedWait: state.expectedWait };
    case 'refused': {
      const retryAfter =
        queue.sharing.tryPreviewRetryDelay(query, random) ??
        getRetryDelay(priority.deadlineAt - clock.now(), random);
      return { ...outcome, retryAfter, pool: state };
    }
    default:
      return outcome satisfies never;
  }
}

/** Returns how the local admission would decide about a request; see `createLocalAdmission`. */
export default function previewSlot(query: SlotQuery, options: PreviewSlotOptions): SlotPreview {
  const quota = previewQuota(options, query);
  if (quota?.decision.kind === 'over') {
    const { retryAfter, figures } = quota.decision;
    const outcome = { kind: 'refused', reason: 'overQuota', retryAfter, quota: figures } as const;
    return { outcome, quota, pool: undefined, isLate: false };
  }
  const queue = options.pools.getQueue(query.pool);

  function previewAt(priority: Priority): PoolPreview {
    return queue.preview(
      {
        ...query,
        id: query.requestId,
        priority,
        onGranted: () => undefined,
        onRefused: () => undefined,
      },
      options.random,
    );
  }

  const first = previewAt(query.priority);
  const isExpectedLate =
    first.outcome.kind === 'refused' && first.outcome.reason === 'expectedLate';
  const late = isExpectedLate ? tryGetLatePriority(query.priority, options.clock.now()) : undefined;
  const pool = late === undefined ? first : previewAt(late);
  const outcome = getOutcome(options, queue, query, pool);
  return { outcome, quota, pool, isLate: late !== undefined };
}
