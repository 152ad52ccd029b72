import type { Milliseconds, Random } from '@rattanreel/core';
import soakBounds from './soakBounds';
import type { KeptCallerKind, KeptRequest, SoakRoute } from './types';

/** Share of requests that ask the server for long work, so that a stop finds some in flight. */
const LONG_WORK_SHARE = 0.4;
const MINIMUM_LONG_WORK: Milliseconds = 200;
const MAXIMUM_LONG_WORK: Milliseconds = 800;
const MINIMUM_CHAT_WORK: Milliseconds = 120;
/** The longest streams last this multiple of the shortest, beyond the grace period and the timeout. */
const CHAT_WORK_RATIO = 100;
/** Power of the share of that range: most streams are short. */
const CHAT_WORK_SKEW = 3;
const SHORT_DEADLINE_SHARE = 0.25;
const MINIMUM_DEADLINE: Milliseconds = 300;
const SLOW_BODY_SHARE = 0.15;
const MAXIMUM_BODY_DURATION: Milliseconds = 1_500;
const SLOW_READER_PADDING = 65_536;
const MINIMUM_READING_PAUSE: Milliseconds = 500;
const MAXIMUM_READING_PAUSE: Milliseconds = 3_000;

const framings: readonly Readonly<Record<string, string>>[] = [
  { 'content-length': '4' },
  { 'transfer-encoding': 'chunked' },
];

/** What callers say about the length of a stream. */
const hints: readonly Readonly<Record<string, string>>[] = [
  {},
  {},
  { 'x-rattanreel-token-count': '20,40' },
  { 'x-rattanreel-length-hint': '40' },
];

const routes: readonly SoakRoute[] = ['order', 'order', 'order', 'look', 'look', 'draft'];

/** Draws what a caller on a kept connection sends next. */
export default function drawKeptRequest(random: Random, kind: KeptCallerKind): KeptRequest {
  const spread = (low: number, high: number, share: number): number =>
    Math.round(low * (high / low) ** share);
  const body = {
    headers: framings[random.integer(0, framings.length - 1)]!,
    bodyDuration: random.next() < SLOW_BODY_SHARE ? random.integer(0, MAXIMUM_BODY_DURATION) : 0,
  };
  switch (kind) {
    case 'short': {
      const route = routes[random.integer(0, routes.length - 1)]!;
      const work =
        random.next() < LONG_WORK_SHARE ? random.integer(MINIMUM_LONG_WORK, MAXIMUM_LONG_WORK) : '';
      const deadline = soakBounds.timeout;
      const headers = { 'content-length': '4' };
      const isSimple = { padding: 0, bodyDuration: 0, readsAfter: 0 };
      return { route, path: `/${route}/${work}`, deadline, headers, ...isSimple };
    }
    case 'chat': {
      const longest = MINIMUM_CHAT_WORK * CHAT_WORK_RATIO;
      const work = spread(MINIMUM_CHAT_WORK, longest, random.next() ** CHAT_WORK_SKEW);
      const deadline =
        random.next() < SHORT_DEADLINE_SHARE
          ? spread(MINIMUM_DEADLINE, soakBounds.chatTimeout, random.next())
          : soakBounds.chatTimeout;
      return {
        ...body,
        route: 'chat',
        path: `/chat/${work}/`,
        deadline,
        padding: 0,
        headers: { ...body.headers, ...hints[random.integer(0, hints.length - 1)] },
        readsAfter: 0,
      };
    }
    case 'slowReader':
      return {
        ...body,
        route: 'chat',
        path: `/chat/${MINIMUM_CHAT_WORK}/${SLOW_READER_PADDING}`,
        deadline: soakBounds.chatTimeout,
        padding: SLOW_READER_PADDING,
        readsAfter: random.integer(MINIMUM_READING_PAUSE, MAXIMUM_READING_PAUSE),
      };
    default:
      return kind satisfies never;
  }
}
