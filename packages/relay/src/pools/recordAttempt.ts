import type { Milliseconds } from '@rattanreel/core';
import type { AttemptFigures, AttemptOutcome, ServerState } from '../types';
import type { PoolAverages } from './types';
import type { MovingAverage } from '../decisions/types';

/** Weight of one attempt in the moving averages of a server. */
const ATTEMPT_WEIGHT = 0.15;
/** Minimum number of chunks after the first from which a server's speed is measured. */
const MINIMUM_LATER_CHUNKS = 2;
const MINIMUM_SLOWNESS = 0.3;
const MAXIMUM_SLOWNESS = 4;
/** Backoff after a failed connection; doubled with each further failure. */
const INITIAL_BACKOFF: Milliseconds = 150;
const MAXIMUM_BACKOFF: Milliseconds = 1_500;
/** Number of consecutive failures after which a server gets a backoff. */
const CONSECUTIVE_FAILURE_THRESHOLD = 4;
/** Longest backoff after a server reported that it is full, if it named no time. */
const SERVER_FULL_BACKOFF: Milliseconds = 60;
/** Peers tell within this time how many requests they have sent to a full server. */
const MINIMUM_FULL_BACKOFF: Milliseconds = 20;
const MAXIMUM_FULL_BACKOFF: Milliseconds = 500;
/** Backoff after another server, or one of another version, responded at the address. */
const MISDIRECTED_BACKOFF: Milliseconds = 1_000;
const HTTP_SERVER_ERROR = 500;
const HTTP_MISDIRECTED = 421;

interface RecordAttemptOptions {
  readonly server: ServerState;
  readonly figures: AttemptFigures;
  readonly averages: PoolAverages;
  /** Whether the server worked at its usual speed, as far as it reports that. */
  readonly isUsualSpeed: boolean;
  readonly now: Milliseconds;
}

function updateSlowness(server: ServerState, average: MovingAverage, value: number): void {
  const ratio = value / Math.max(average.get(), 1);
  average.add(value);
  const bounded = Math.min(Math.max(ratio, MINIMUM_SLOWNESS), MAXIMUM_SLOWNESS);
  server.slowness += ATTEMPT_WEIGHT * (bounded - server.slowness);
}

/**
 * Returns the backoff after a server turned a request away. The time that it asked for binds the
 * host which sent the request; to the others it is a sign that the server is full, and it is full
 * for about as long as it takes until one of its requests ends. A small pool whose full servers are
 * avoided for longer refuses what it could serve. Servers that fall over when they turn requests
 * away are avoided for longer.
 */
function getNotRunBackoff(
  { listed, ownSlots }: ServerState,
  { duration }: Pick<PoolAverages, 'duration'>,
  { status, retryAfter }: Extract<AttemptOutcome, { kind: 'notRun' }>,
): Milliseconds {
  if (status === HTTP_MISDIRECTED) {
    return MISDIRECTED_BACKOFF;
  }
  const longest = Math.max(SERVER_FULL_BACKOFF, Math.min(retryAfter ?? 0, MAXIMUM_FULL_BACKOFF));
  const untilFree = Math.max(duration.get() / listed.slots, MINIMUM_FULL_BACKOFF);
  return ownSlots === undefined ? Math.min(longest, untilFree) : longest;
}

function recordFailure(server: ServerState, now: Milliseconds, threshold: number): void {
  server.consecutiveFailures += 1;
  server.failureRate += ATTEMPT_WEIGHT * (1 - server.failureRate);
  if (server.consecutiveFailures >= threshold) {
    const backoff = INITIAL_BACKOFF * 2 ** (server.consecutiveFailures - threshold);
    server.backoffUntil = now + Math.min(backoff, MAXIMUM_BACKOFF);
  }
}

function recordSuccess(options: RecordAttemptOptions): void {
  const { server, figures, averages, now } = options;
  server.consecutiveFailures = 0;
  server.failureRate -= ATTEMPT_WEIGHT * server.failureRate;
  if (!options.isUsualSpeed) {
    return;
  }
  averages.duration.add(figures.duration);
  if (figures.firstDataAfter !== undefined) {
    averages.timeToFirstData.add(figures.firstDataAfter, now);
  }
  if (figures.laterChunks >= MINIMUM_LATER_CHUNKS) {
    updateSlowness(server, averages.chunkInterval, figures.laterTime / figures.laterChunks);
    averages.timePerToken.add(figures.laterTime / Math.max(figures.outputTokens, 1), now);
  } else if (figures.laterChunks === 0) {
    updateSlowness(server, averages.singleChunkDuration, figures.duration);
  }
}

/** Updates the state of a server and the pool's averages with the result of one attempt. */
export default function recordAttempt(options: RecordAttemptOptions): void {
  const { server, figures, now } = options;
  const { end } = figures;
  switch (end.kind) {
    case 'whole':
      if (end.status >= HTTP_SERVER_ERROR) {
        recordFailure(server, now, Infinity);
      } else {
        recordSuccess(options);
      }
      return;
    case 'notRun':
      server.extraSlots = end.status === HTTP_MISDIRECTED ? server.extraSlots : 0;
      server.backoffUntil = now + getNotRunBackoff(server, options.averages, end);
      return;
    case 'notSent':
      return;
    case 'notConnected':
      recordFailure(server, now, 1);
      return;
    case 'broken':
      recordFailure(server, now, CONSECUTIVE_FAILURE_THRESHOLD);
      return;
    case 'aborted':
      if (end.reason === 'silent' || end.reason === 'timeout') {
        recordFailure(server, now, CONSECUTIVE_FAILURE_THRESHOLD);
      }
      return;
    default:
      end satisfies never;
  }
}
