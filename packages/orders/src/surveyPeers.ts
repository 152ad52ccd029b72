import type { Milliseconds } from '@rattanreel/core';
import decideAfterSurvey from './decideAfterSurvey';
import type { AskOwner, OrderRequest, OrderResult, PeerView } from './types';

const STORE_RETRY_AFTER: Milliseconds = 2_000;
/** Above this many peers a question to all of them costs more than it tells. */
const PEER_LIMIT = 16;

interface SurveyOptions {
  readonly order: OrderRequest;
  readonly view: PeerView;
  readonly askOwner: AskOwner;
  /** Whether this host may itself have run the order and forgotten it. */
  readonly hasForgotten: boolean;
}

/** Asks every peer about an order, since the store can't tell whether it was claimed before. */
export default async function surveyPeers(options: SurveyOptions): Promise<OrderResult> {
  const { order, view, askOwner } = options;
  const isAskable = view.isComplete && view.peers.length <= PEER_LIMIT;
  const asked = isAskable ? view.peers.map((peer) => askOwner(peer, order)) : [];
  return decideAfterSurvey({
    answers: await Promise.all(asked),
    isComplete: isAskable && !options.hasForgotten,
    retryAfter: STORE_RETRY_AFTER,
  });
}
