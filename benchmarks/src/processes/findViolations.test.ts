import { describe, it } from 'node:test';
import { expect } from 'earl';
import findResponseViolations from './findResponseViolations';
import findBoundViolations from './findBoundViolations';
import findLimitViolations from './findLimitViolations';
import findLostRequests from './findLostRequests';
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
const stopOfHost = { host: 0, signal: 'SIGTERM', at: 9_000 } as const;

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
