import type { Clock, Milliseconds } from '@rattanreel/core';
import decideAfterSurvey from './decideAfterSurvey';
import DENIAL_HOLD from './denialHold';
import type { AskOwner, OrderRequest, OrderResult, OwnerAnswer, PeerView } from './types';

const STORE_RETRY_AFTER: Milliseconds = 2_000;
/** Above this many peers a question to all of them costs more than it tells. */
const MAXIMUM_PEERS = 16;
const MAXIMUM_ROUNDS = 2;
/** Covers clocks of two hosts that run at slightly different speeds. */
const HOLD_MARGIN: Milliseconds = 200;

interface SurveyOptions {
  readonly order: OrderRequest;
  readonly view: PeerView;
  readonly askOwner: AskOwner;
  /** Whether this host may itself have run the order and forgotten it. */
  readonly hasForgotten: () => boolean;
  readonly clock: Clock;
}

/** Asks every peer about an order, since the store can't tell whether it was claimed before. */
export default async function surveyPeers(options: SurveyOptions): Promise<OrderResult> {
  const { order, view, askOwner, clock } = options;
  const canSurvey = view.isComplete && view.peers.length <= MAXIMUM_PEERS;
  const peers = canSurvey ? view.peers : [];
  let answers: readonly OwnerAnswer[] = [];
  let isInTime = false;
  // A peer that had to wait for its own attempt denies late: all are asked once more, and answer at once.
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
