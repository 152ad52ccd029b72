import { describe, it } from 'node:test';
import { expect } from 'earl';
import findResponseViolations from './findResponseViolations';
import findBoundViolations from './findBoundViolations';
import findLimitViolations from './findLimitViolations';
import findLostRequests from './findLostRequests';
import findStopViolations from './findStopViolations';
import getExpectedResponse from './getExpectedResponse';
import soakBounds from './soakBounds';
import type { CallerEnd, ObservedRun, SentRequest, SoakRecord } from './types';

const order: SentRequest = {
  id: 'r1',
  route: 'order',
  host: 0,
  customer: 'large',
  key: 'k1',
  at: 10_000,
  timeout: soakBounds.timeout,
};
const run: ObservedRun = {
  id: 'r1',
  server: 's1',
  failureDomain: 'a',
  at: 10_050,
  customer: 'large',
  hasKey: false,
};
const completeResponse: CallerEnd & { readonly at: number } = {
  kind: 'answered',
  status: 200,
  answersTo: 'r1',
  seal: 'r1.s1',
  body: getExpectedResponse('order', 'r1').join(''),
  closes: false,
  at: 10_100,
};

function createRecord(changes: Partial<SoakRecord>): SoakRecord {
  return {
    bounds: soakBounds,
    sent: new Map([['r1', order]]),
    ends: new Map([['r1', completeResponse]]),
    runs: [run],
    arrivals: [],
    disturbances: [],
    exclusions: [],
    keyGrants: [],
    signals: [],
    serverBreaks: [],
    finalStopAt: Infinity,
    ...changes,
  };
}

const withEnd = (end: CallerEnd): Partial<SoakRecord> => ({
  ends: new Map([['r1', { ...end, at: 10_100 }]]),
});
const drainedServer = { what: 'server', name: 's1', from: 5_000, to: Infinity } as const;
const hostPause = { reason: 'hostPaused', host: 0, from: 6_000, to: 6_500 } as const;

const cutOrder = { kind: 'cut', reason: 'closed' } as const;
const stopOfHost = { host: 0, process: 1, signal: 'SIGTERM', at: 9_000 } as const;

interface StoppedChat {
  /** Times are from the SIGTERM of the host; `sent` is that of the first byte. */
  readonly sent: number;
  readonly lastByte?: number;
  readonly workEnds?: number;
  readonly end?: CallerEnd;
  readonly endsAt?: number;
  readonly changes?: Partial<SoakRecord>;
  readonly request?: Partial<SentRequest>;
}

const STOP_AT = 5_000;
const stopOfChat = { ...stopOfHost, at: STOP_AT };
const refusal = { ...completeResponse, status: 503, seal: undefined, body: '', closes: true };

/** Returns the record of a stream around a stop, which a server has run, cut unless `end` says else. */
function createStoppedChat(options: StoppedChat): Partial<SoakRecord> {
  const { sent, lastByte = sent, workEnds = 7_310, end = cutOrder, endsAt = 7_300 } = options;
  const at = STOP_AT + sent;
  const chat = { ...order, route: 'chat', at, timeout: 10_000, ...options.request } as const;
  const lastByteAt = STOP_AT + lastByte;
  return {
    sent: new Map([['r1', chat]]),
    ends: new Map([['r1', { ...end, lastByteAt, at: STOP_AT + endsAt }]]),
    runs: [{ ...run, at: lastByteAt + 50, endedAt: STOP_AT + workEnds }],
    arrivals: [{ service: 'chats', id: 'r1', at: lastByteAt + 50 }],
    signals: [stopOfChat],
    ...options.changes,
  };
}

const unsent = { runs: [], arrivals: [] };
const startAfterStop = {
  disturbances: [{ reason: 'started', host: 0, from: STOP_AT + 1_000, to: STOP_AT + 2_500 }],
} as const;

interface Case {
  readonly name: string;
  readonly record: Partial<SoakRecord>;
  readonly promises: readonly string[];
}

const cases: readonly Case[] = [
  { name: 'nothing in a complete response', record: {}, promises: [] },
  { name: 'an order that ran twice', record: { runs: [run, run] }, promises: ['once'] },
  {
    name: 'a false "not run"',
    record: withEnd({ ...completeResponse, status: 503 }),
    promises: ['notRunIsTrue'],
  },
  {
    name: 'a truncated response that looks complete',
    record: withEnd({ ...completeResponse, body: 'ord' }),
    promises: ['wholeAnswer'],
  },
  {
    name: 'the response of another request',
    record: withEnd({ ...completeResponse, answersTo: 'r2' }),
    promises: ['ownAnswer'],
  },
  {
    name: 'a key that was forwarded to a server',
    record: { runs: [{ ...run, hasKey: true }] },
    promises: ['customerOfTheKey'],
  },
  { name: 'a request that nobody sent', record: { sent: new Map() }, promises: ['asked'] },
  {
    name: 'a request to a drained server',
    record: { exclusions: [drainedServer] },
    promises: ['server'],
  },
  {
    name: 'nothing at a drained server while the host was disturbed',
    record: {
      exclusions: [drainedServer],
      disturbances: [hostPause, { ...hostPause, from: 10_000, to: 10_010 }],
    },
    promises: [],
  },
  {
    name: 'a request with a revoked key',
    record: { exclusions: [{ what: 'key', name: 'k1', from: 5_000, to: Infinity }] },
    promises: ['key'],
  },
  {
    name: 'a key that stays unknown',
    record: {
      ...withEnd({ ...completeResponse, status: 401 }),
      runs: [],
      keyGrants: [{ key: 'k1', at: 5_000 }],
    },
    promises: ['configuration'],
  },
  {
    name: 'a request that exceeds its timeout',
    record: { ends: new Map([['r1', { ...completeResponse, at: 12_100 }]]) },
    promises: ['timeout'],
  },
  {
    name: 'more runs than a quota allows',
    record: {
      runs: Array.from({ length: 300 }, (_, index) => ({
        ...run,
        id: `r${index}`,
        customer: 'small',
      })),
      sent: new Map(
        Array.from({ length: 300 }, (_, index) => [
          `r${index}`,
          { ...order, id: `r${index}`, customer: 'small' },
        ]),
      ),
      ends: new Map(),
    },
    promises: ['quota'],
  },
  {
    name: 'more retries than the budget allows',
    record: {
      arrivals: Array.from({ length: 60 }, () => ({ service: 'orders', id: 'r1', at: 10_050 })),
    },
    promises: ['budget'],
  },
  {
    name: 'a request that was passed on and cut by a stop',
    record: {
      ...withEnd(cutOrder),
      signals: [stopOfHost],
      disturbances: [
        { reason: 'hostStopped', host: 0, from: 9_000, to: 17_000 },
        { reason: 'storeDown', host: 'all', from: 9_000, to: 11_000 },
      ],
    },
    promises: ['lost'],
  },
  {
    name: 'a request that was held and cut by a stop',
    record: { ...withEnd({ ...cutOrder, reusedAt: 9_890 }), runs: [], signals: [stopOfHost] },
    promises: ['lost'],
  },
  {
    name: 'nothing in a request that crossed the close of its connection',
    record: { ...withEnd({ ...cutOrder, reusedAt: 10_000 }), runs: [], signals: [stopOfHost] },
    promises: [],
  },
  {
    name: 'nothing in a response that a server broke off during a stop',
    record: {
      ...withEnd(cutOrder),
      signals: [stopOfHost],
      serverBreaks: [{ server: 's1', at: 10_060 }],
    },
    promises: [],
  },
  {
    name: 'nothing in a cut around a stop of a host that was paused',
    record: {
      ...withEnd(cutOrder),
      signals: [stopOfHost],
      disturbances: [{ ...hostPause, to: 8_500 }],
    },
    promises: [],
  },
  {
    name: 'a request that was cut after a reload',
    record: { ...withEnd(cutOrder), signals: [{ ...stopOfHost, signal: 'SIGHUP' }] },
    promises: ['lost'],
  },
  {
    name: 'nothing in a stream in hand at a stop, cut with its server at work',
    record: createStoppedChat({ sent: -1_000 }),
    promises: [],
  },
  {
    name: 'a stream in hand at a stop whose server had ended before the last sixth of the grace period',
    record: createStoppedChat({ sent: -1_000, workEnds: 6_600 }),
    promises: ['lost'],
  },
  {
    name: 'a stream in hand at a stop that was cut long before the end of the grace period',
    record: createStoppedChat({ sent: -1_000, endsAt: 4_000, workEnds: 4_010 }),
    promises: ['lost'],
  },
  {
    name: 'a stream sent 3 s after the signal at most, cut with its server at work',
    record: createStoppedChat({ sent: 3_000 }),
    promises: ['cutAfterStop'],
  },
  {
    name: 'a stream sent later than 3 s after the signal, cut with its server at work',
    record: createStoppedChat({ sent: 3_010 }),
    promises: ['lost', 'cutAfterStop'],
  },
  {
    name: 'a stream whose body ended after the signal',
    record: createStoppedChat({ sent: -200, lastByte: 400 }),
    promises: ['cutAfterStop'],
  },
  {
    name: 'a stream whose body ended later than 3 s after the signal',
    record: createStoppedChat({ sent: 2_000, lastByte: 3_400 }),
    promises: ['lost', 'cutAfterStop'],
  },
  {
    name: 'a stream sent after the first signal of a series and soon after the last',
    record: createStoppedChat({
      sent: 4_000,
      changes: {
        signals: [stopOfChat, { ...stopOfChat, signal: 'SIGINT', at: STOP_AT + 2_000 }],
      },
    }),
    promises: ['lost', 'cutAfterStop'],
  },
  {
    name: 'a stream sent after the signal at a host that was cut off from the store',
    record: createStoppedChat({
      sent: 4_000,
      changes: {
        disturbances: [{ reason: 'storeLinkCut', host: 0, from: STOP_AT, to: STOP_AT + 2_000 }],
      },
    }),
    promises: ['cutAfterStop'],
  },
  {
    name: 'nothing in a stream sent after the signal that its server broke off',
    record: createStoppedChat({
      sent: 4_000,
      changes: { serverBreaks: [{ server: 's1', id: 'r1', at: STOP_AT + 7_200 }] },
    }),
    promises: [],
  },
  {
    name: 'nothing in a stream sent after the signal that reached its deadline',
    record: createStoppedChat({ sent: 4_000, request: { timeout: 3_300 } }),
    promises: [],
  },
  {
    name: 'nothing in a stream sent after the signal to a host that was killed',
    record: createStoppedChat({
      sent: 4_000,
      changes: {
        disturbances: [
          { reason: 'hostKilled', host: 0, from: STOP_AT + 7_000, to: STOP_AT + 7_500 },
        ],
      },
    }),
    promises: [],
  },
  {
    name: 'nothing in a stream sent after the signal that no server got',
    record: createStoppedChat({ sent: 4_000, changes: unsent }),
    promises: [],
  },
  {
    name: 'nothing in a stream sent to the next process of a host',
    record: createStoppedChat({
      sent: 2_000,
      request: { connectedAt: STOP_AT + 1_900 },
      changes: startAfterStop,
    }),
    promises: [],
  },
  {
    name: 'a stream sent on an older connection while the next process starts',
    record: createStoppedChat({
      sent: 2_000,
      request: { connectedAt: STOP_AT - 1_900 },
      changes: startAfterStop,
    }),
    promises: ['cutAfterStop'],
  },
  {
    name: 'nothing in a refusal after the signal that closes its connection',
    record: createStoppedChat({ sent: 1_000, end: refusal, endsAt: 1_010, changes: unsent }),
    promises: [],
  },
  {
    name: 'a refusal after the signal that leaves its connection open',
    record: createStoppedChat({
      sent: 1_000,
      end: { ...refusal, closes: false },
      endsAt: 1_010,
      changes: unsent,
    }),
    promises: ['refusalCloses'],
  },
  {
    name: 'a refusal after the process had logged its stop that leaves its connection open',
    record: createStoppedChat({
      sent: 1_000,
      end: { ...refusal, closes: false },
      endsAt: 1_010,
      changes: { ...unsent, signals: [{ ...stopOfChat, handledAt: STOP_AT + 990 }] },
    }),
    promises: ['refusalCloses'],
  },
  {
    name: 'nothing in a refusal before the process had logged its stop that leaves its connection open',
    record: createStoppedChat({
      sent: 1_000,
      end: { ...refusal, closes: false },
      endsAt: 1_010,
      changes: { ...unsent, signals: [{ ...stopOfChat, handledAt: STOP_AT + 1_005 }] },
    }),
    promises: [],
  },
  {
    name: 'a stream sent after the process had logged its stop',
    record: createStoppedChat({
      sent: 200,
      changes: { signals: [{ ...stopOfChat, handledAt: STOP_AT + 150 }] },
    }),
    promises: ['cutAfterStop'],
  },
  {
    name: 'nothing in a stream sent before the process had logged its stop, which is excused by work',
    record: createStoppedChat({
      sent: 100,
      changes: { signals: [{ ...stopOfChat, handledAt: STOP_AT + 150 }] },
    }),
    promises: [],
  },
  {
    name: 'a stream sent later than 3 s after a signal that the process handled late',
    record: createStoppedChat({
      sent: 3_100,
      changes: { signals: [{ ...stopOfChat, handledAt: STOP_AT + 3_200 }] },
    }),
    promises: ['lost'],
  },
  {
    name: 'nothing in a refusal before the signal that leaves its connection open',
    record: createStoppedChat({
      sent: -100,
      end: { ...refusal, closes: false },
      endsAt: -90,
      changes: unsent,
    }),
    promises: [],
  },
  {
    name: 'a refusal after the signal of a request that a server has run',
    record: createStoppedChat({
      sent: 1_000,
      end: refusal,
      endsAt: 3_000,
      request: { timeout: 3_000 },
    }),
    promises: ['refusedUnsent'],
  },
  {
    name: 'a refusal after the signal of a request that may outlast its host and reached a server',
    record: createStoppedChat({ sent: 1_000, end: refusal, changes: { runs: [] } }),
    promises: ['refusedUnsent'],
  },
  {
    name: 'nothing in a refusal of a request that ends before its host and that a server turned away',
    record: createStoppedChat({
      sent: 1_000,
      end: refusal,
      endsAt: 1_100,
      request: { timeout: 3_000 },
      changes: { runs: [] },
    }),
    promises: [],
  },
  {
    name: 'more than a few cut requests without a cause',
    record: {
      runs: Array.from({ length: 4 }, (_, index) => ({ ...run, id: `r${index}` })),
      sent: new Map(
        Array.from({ length: 4 }, (_, index) => [`r${index}`, { ...order, id: `r${index}` }]),
      ),
      ends: new Map(
        Array.from({ length: 4 }, (_, index) => [`r${index}`, { ...cutOrder, at: 10_100 }]),
      ),
    },
    promises: ['lost'],
  },
];

describe('checks of the soak', () => {
  cases.forEach(({ name, record, promises }) => {
    it(`finds ${name}`, () => {
      const complete = createRecord(record);
      const violations = [
        findResponseViolations,
        findBoundViolations,
        findLimitViolations,
        findLostRequests,
        findStopViolations,
      ].flatMap((check) => check(complete));
      const isRelevant = ({ promise }: { readonly promise: string }): boolean =>
        // The 300 requests of this record have no ends, so they exceed their timeouts as well.
        name === 'more runs than a quota allows' ? promise !== 'timeout' : true;
      expect([...new Set(violations.filter(isRelevant).map(({ promise }) => promise))]).toEqual([
        ...promises,
      ]);
    });
  });
});
