import type { Milliseconds } from '@rattanreel/core';
import type { ServerAccount } from '../types';
import type { AttemptFigures, PoolMeans } from './types';
import type { MovingMean } from '../decisions/types';

/** Weight of one attempt in what is known of a server. */
const WEIGHT = 0.15;
/** Fewest chunks after the first that tell a server's pace. */
const LEAST_CHUNKS = 2;
const LEAST_SLOWNESS = 0.3;
const MOST_SLOWNESS = 4;
/** Pause after a failed connection; doubled with each further one. */
const FIRST_AVOIDANCE: Milliseconds = 150;
const LONGEST_AVOIDANCE: Milliseconds = 1_500;
/** Failures in a row after which a server gets a pause. */
const BROKEN_IN_A_ROW = 4;
/** Pause after a server said that it is full. */
const FULL_AVOIDANCE: Milliseconds = 60;
/** Pause after another server answered at the address, or one of another version. */
const MISDIRECTED_AVOIDANCE: Milliseconds = 1_000;
const HTTP_SERVER_ERROR = 500;
const HTTP_MISDIRECTED = 421;

interface NoteAttemptOptions {
  readonly account: ServerAccount;
  readonly figures: AttemptFigures;
  readonly means: PoolMeans;
  readonly now: Milliseconds;
}

function learnPace(account: ServerAccount, mean: MovingMean, value: number): void {
  const ratio = value / Math.max(mean.get(), 1);
  mean.add(value);
  const bounded = Math.min(Math.max(ratio, LEAST_SLOWNESS), MOST_SLOWNESS);
  account.slowness += WEIGHT * (bounded - account.slowness);
}

function noteFailure(account: ServerAccount, now: Milliseconds, threshold: number): void {
  account.failures += 1;
  account.failureShare += WEIGHT * (1 - account.failureShare);
  if (account.failures >= threshold) {
    const pause = FIRST_AVOIDANCE * 2 ** (account.failures - threshold);
    account.avoidedUntil = now + Math.min(pause, LONGEST_AVOIDANCE);
  }
}

function noteSuccess({ account, figures, means }: NoteAttemptOptions): void {
  account.failures = 0;
  account.failureShare -= WEIGHT * account.failureShare;
  if (figures.firstDataAfter !== undefined) {
    means.firstData.add(figures.firstDataAfter);
  }
  if (figures.laterChunks >= LEAST_CHUNKS) {
    learnPace(account, means.chunkGap, figures.laterTime / figures.laterChunks);
    means.tokenTime.add(figures.laterTime / Math.max(figures.outputTokens, 1));
  } else if (figures.laterChunks === 0) {
    learnPace(account, means.wholeTime, figures.duration);
  }
}

/** Takes what one attempt showed into what is known of its server. */
export default function noteAttempt(options: NoteAttemptOptions): void {
  const { account, figures, now } = options;
  const { end } = figures;
  switch (end.kind) {
    case 'whole':
      if (end.status >= HTTP_SERVER_ERROR) {
        noteFailure(account, now, Infinity);
      } else {
        noteSuccess(options);
      }
      return;
    case 'notRun':
      account.extraPlaces = end.status === HTTP_MISDIRECTED ? account.extraPlaces : 0;
      account.avoidedUntil =
        now + (end.status === HTTP_MISDIRECTED ? MISDIRECTED_AVOIDANCE : FULL_AVOIDANCE);
      return;
    case 'notConnected':
      noteFailure(account, now, 1);
      return;
    case 'broken':
      noteFailure(account, now, BROKEN_IN_A_ROW);
      return;
    case 'aborted':
      if (end.reason === 'silent' || end.reason === 'timeout') {
        noteFailure(account, now, BROKEN_IN_A_ROW);
      }
      return;
    default:
      end satisfies never;
  }
}
