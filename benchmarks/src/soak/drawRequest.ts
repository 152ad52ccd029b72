import type { FailureDomainId, Milliseconds, Random } from '@rattanreel/core';
import type { EntryHostIncarnation, GrantRequested } from '@rattanreel/scheduling';

const TIER_COUNT = 3;
const CUSTOMER_COUNT = 5;
const LONG_REQUEST_SHARE = 0.1;
const REMOTE_REQUEST_SHARE = 0.1;

/** Deadlines of every request, relative to its arrival. */
const FIRST_TOKEN_DUE_MILLISECONDS: Milliseconds = 3_000;
const DUE_MILLISECONDS: Milliseconds = 20_000;

/** Draws a request; one in ten is long and one in ten comes from another failure domain. */
export default function drawRequest(
  random: Random,
  from: EntryHostIncarnation,
  sequence: number,
  now: Milliseconds,
): GrantRequested {
  const isLong = random.next() < LONG_REQUEST_SHARE;
  const homeDomain: FailureDomainId = random.next() < REMOTE_REQUEST_SHARE ? 'd2' : 'd1';
  return {
    kind: 'grantRequested',
    request: `${from.entryHost}-${from.incarnation}-${sequence}`,
    from,
    homeDomain,
    tier: random.integer(0, TIER_COUNT - 1),
    customer: `customer${random.integer(1, CUSTOMER_COUNT)}`,
    customerWeight: 1,
    route: 'chat',
    promptTokens: random.integer(10, isLong ? 8_000 : 400),
    maximumOutputTokens: random.integer(4, isLong ? 800 : 100),
    prefixHashes: [],
    age: 0,
    firstTokenDue: FIRST_TOKEN_DUE_MILLISECONDS,
    due: DUE_MILLISECONDS,
    stamp: now,
  };
}
