import type { QueuedRequest } from '../types';
import getShareKey from './getShareKey';
import isContended from './isContended';
import type { SlotShares } from './types';

/**
 * Arranges queued requests, which are in the order of service of one customer, for several: by tier
 * first, then by the customers' use of slots. A customer's long responses go before the short ones
 * of another that uses more. With requests of one customer only, their order stays as it is.
 */
export default function arrangeByShare(
  requests: readonly QueuedRequest[],
  { getLevel }: Pick<SlotShares, 'getLevel'>,
): readonly QueuedRequest[] {
  if (!isContended(requests)) {
    return requests;
  }
  const levels = new Map(
    requests.map((request) => [request, getLevel(getShareKey(request))] as const),
  );
  return [...requests].sort(
    (left, right) =>
      left.priority.floorRank - right.priority.floorRank || levels.get(left)! - levels.get(right)!,
  );
}
