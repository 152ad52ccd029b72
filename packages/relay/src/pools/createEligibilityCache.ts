import type { SlotEligibility, SlotRequester } from '../decisions/types';

/** Evaluates each group of requests once, for many requests at one moment. */
export default function createEligibilityCache(
  evaluate: (group: SlotRequester) => SlotEligibility,
): (group: SlotRequester) => SlotEligibility {
  const known = new Map<number, SlotEligibility>();

  return (group) => {
    const key = group.tier * 2 + (group.isReturning ? 1 : 0);
    const eligibility = known.get(key) ?? evaluate(group);
    known.set(key, eligibility);
    return eligibility;
  };
}
