import type { Clock, Milliseconds } from '@rattanreel/core';
import decideAfterSurvey from './decideAfterSurvey';
import DENIAL_HOLD from './denialHold';
import type { AskOwner, OrderRequest, OrderResult, OwnerAnswer, PeerView } from './types';

const STORE_RETRY_AFTER: Milliseconds = 2_000;
/** Above this many peers, the cost of querying all of them outweighs the benefit. */
const MAXIMUM_PEERS = 16;
const MAXIMUM_ROUNDS = 2;
/** Tolerates clocks of two hosts that run at slightly different rates. */
const HOLD_MARGIN: Milliseconds = 200;

interface SurveyOptions {
  readonly order: OrderRequest;
  readonly view: PeerView;
  readonly askOwner: AskOwner;
  /** Whether this host may itself have run the order and evicted it. */
  readonly hasForgotten: () => boolean;
  readonly clock: Clock;
}

/** Asks every peer about an order, because the store cannot say whether it was claimed before. */
export default async function surveyPeers(options: SurveyOptions): Promise<OrderResult> {
  const { order, view, askOwner, clock } = options;
  const canSurvey = view.isComplete && view.peers.length <= MAXIMUM_PEERS;
  const peers = canSurvey ? view.peers : [];
  let answers: readonly OwnerAnswer[] = [];
  let isInTime = false;
  // A peer that waits for its own attempt answers late. All peers are then asked again and answer immediately.
  for (let round = 0; round < MAXIMUM_ROUNDS && !isInTime; round += 1) {
    const askedAt = clock.now();
    answers = await Promise.all(peers.map((peer) => askOwner(peer, order)));
    isInTime = clock.now() - askedAt < DENIAL_HOLD - HOLD_MARGIN;
  }
  return decideAfterSurvey({
    answers,
    isComplete: canSurvey && isInTime && !options.hasForgotten(),
    retryAfter: STORE_RETRY_AFTER,
  });
}
