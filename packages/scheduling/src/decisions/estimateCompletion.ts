import type { BackendServer } from '../servers/types';
import type { QueuedRequest } from '../queue/types';
import type { CompletionEstimate, SchedulerState } from './types';

/** Estimates the cache hits and times of a request if it were granted at a backend server now. */
export default function estimateCompletion(
  state: SchedulerState,
  server: BackendServer,
  request: QueuedRequest,
): CompletionEstimate {
  const { grantRequest } = request;
  const { speed } = server;
  const cachedTokens = server.prefixes.estimateCachedTokens(
    grantRequest.prefixHashes,
    grantRequest.promptTokens,
  );
  const prefillTokens = Math.max(1, grantRequest.promptTokens - cachedTokens);
  const streams = server.inFlight.size + 1;
  const tokenTime = speed.predictTokenTime(streams);
  const firstTokenAfter = speed.predictFirstTokenAfter(server.prefillTokens + prefillTokens);
  const outputTokens = state.workEstimates.estimateOutputTokens(
    grantRequest.route,
    grantRequest.maximumOutputTokens,
  );
  const finishAfter = firstTokenAfter + (outputTokens - 1) * tokenTime;
  return { cachedTokens, prefillTokens, firstTokenAfter, finishAfter };
}
