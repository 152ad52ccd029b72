import type { BackendServer } from '../servers/types';
import type { QueuedRequest } from '../queue/types';
import type { Expectation, SchedulerState } from './types';

/** Expected course of a request at a backend server if it were granted there now. */
export default function expectCourse(
  state: SchedulerState,
  server: BackendServer,
  request: QueuedRequest,
): Expectation {
  const { asked } = request;
  const { speed } = server;
  const cachedTokens = server.prefixes.expectedTokens(asked.prefixHashes, asked.promptTokens);
  const prefillTokens = Math.max(1, asked.promptTokens - cachedTokens);
  const streams = server.inFlight.size + 1;
  const tokenTime = speed.tokenTime(streams);
  const firstTokenAfter = speed.firstTokenAfter(server.prefillTokens + prefillTokens);
  const output = state.work.expectedOutputTokens(asked.route, asked.maximumOutputTokens);
  const finishAfter = firstTokenAfter + (output - 1) * tokenTime;
  return { cachedTokens, prefillTokens, firstTokenAfter, finishAfter };
}
