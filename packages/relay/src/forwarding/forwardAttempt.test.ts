import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import type { TaskListener } from '@rattanreel/transport';
import createTestServer from '../testing/createTestServer';
import type { AttemptOutcome, PeerAddress } from '../types';
import forwardAttempt from './forwardAttempt';
import type { ForwardProgress } from './types';

type Answer = 'unreachable' | 'notConnected' | 'lost' | 'whole' | 'full' | 'silent';

interface Case {
  readonly name: string;
  /** What each peer does, in the order in which they are asked. */
  readonly peers: readonly Answer[];
  readonly end: AttemptOutcome['kind'] | 'open';
  readonly asked: number;
  /** Whether the server counts as reached by no one. */
  readonly isUnreached?: boolean;
}

const cases: readonly Case[] = [
  { name: 'a peer that reaches the server', peers: ['whole', 'whole'], end: 'whole', asked: 1 },
  { name: 'a peer that cannot be asked', peers: ['unreachable', 'whole'], end: 'whole', asked: 2 },
  {
    name: 'peers that do not reach the server either',
    peers: ['notConnected', 'notConnected', 'whole'],
    end: 'whole',
    asked: 3,
  },
  {
    name: 'no peer that reaches it',
    peers: ['notConnected'],
    end: 'notConnected',
    asked: 1,
    isUnreached: true,
  },
  { name: 'no peer at all', peers: [], end: 'notConnected', asked: 0 },
  { name: 'a server that turns it away', peers: ['full', 'whole'], end: 'notRun', asked: 1 },
  { name: 'a peer that is lost with it', peers: ['lost', 'whole'], end: 'broken', asked: 1 },
  { name: 'a peer from which nothing comes', peers: ['silent', 'whole'], end: 'open', asked: 1 },
];

function answer(how: Answer, { onProgress, onEnd }: TaskListener<ForwardProgress>): void {
  const finish = (outcome: AttemptOutcome): void => {
    onProgress({ kind: 'end', outcome });
    onEnd('ended');
  };
  switch (how) {
    case 'unreachable':
      onEnd('unreachable');
      return;
    case 'notConnected':
      finish({ kind: 'notConnected' });
      return;
    case 'lost':
      onEnd('ended');
      return;
    case 'full':
      finish({ kind: 'notRun', status: 503 });
      return;
    case 'whole':
      onProgress({
        kind: 'head',
        head: { status: 200, headers: {}, isDelimitedByClose: false },
      });
      onProgress({ kind: 'data', chunk: Buffer.from('ok') });
      finish({ kind: 'whole', status: 200 });
      return;
    case 'silent':
      return;
    default:
      how satisfies never;
  }
}

describe('forwardAttempt', () => {
  cases.forEach(({ name, peers, end, asked, isUnreached = false }) => {
    // Guards against sending an attempt at a second peer that a first one may have sent.
    it(`asks the next peer only while nothing was sent: ${name}`, () => {
      const ends: AttemptOutcome['kind'][] = [];
      let askedPeers = 0;
      let wasUnreached = false;
      const clock = createVirtualClock();
      forwardAttempt({
        clock,
        peers: peers.map((_, index): PeerAddress => ({
          entryHost: `host-${index}`,
          address: String(index),
          failureDomain: 'domain',
          capacity: 1,
        })),
        server: createTestServer().listed,
        request: {
          requestId: 'r1',
          method: 'POST',
          target: '/',
          headers: [],
          body: Buffer.alloc(0),
          requestIdHeader: 'x-id',
          notRunHeader: 'x-not-run',
          retryAfterHeader: 'retry-after',
        },
        sink: {
          onHead: () => undefined,
          onData: () => true,
          onEnd: (outcome) => ends.push(outcome.kind),
        },
        forwarders: {
          recordWorking: () => undefined,
          recordFailed: () => undefined,
        },
        perform(address, _, listener) {
          askedPeers += 1;
          answer(peers[Number(address)]!, listener);
          const ignore = (): void => undefined;
          return { cancel: ignore, pause: ignore, resume: ignore };
        },
        isWithheld: () => false,
        onReached: () => undefined,
        onUnreached() {
          wasUnreached = true;
        },
      });
      clock.advance(1);
      expect(ends).toEqual(end === 'open' ? [] : [end]);
      expect(askedPeers).toEqual(asked);
      expect(wasUnreached).toEqual(isUnreached);
    });
  });

  const deadlineCases = [
    { name: 'tells a peer what is left of the deadline', left: 300, end: undefined, told: [300] },
    { name: 'asks no peer after the deadline', left: 0, end: 'notSent', told: [] },
  ];
  deadlineCases.forEach(({ name, left, end, told }) => {
    // Guards against a peer that sends an attempt whose deadline has passed.
    it(name, () => {
      const clock = createVirtualClock();
      const ends: AttemptOutcome['kind'][] = [];
      const toldTimes: (number | undefined)[] = [];
      const ignore = (): void => undefined;
      forwardAttempt({
        clock,
        peers: [{ entryHost: 'host-0', address: '0', failureDomain: 'domain', capacity: 1 }],
        server: createTestServer().listed,
        request: {
          requestId: 'r1',
          method: 'POST',
          target: '/',
          headers: [],
          body: Buffer.alloc(0),
          requestIdHeader: 'x-id',
          notRunHeader: 'x-not-run',
          retryAfterHeader: 'retry-after',
          deadline: { at: clock.now() + left, header: 'x-deadline' },
        },
        sink: { onHead: ignore, onData: () => true, onEnd: (outcome) => ends.push(outcome.kind) },
        forwarders: { recordWorking: ignore, recordFailed: ignore },
        perform(_, task) {
          toldTimes.push(task.kind === 'attempt' ? task.deadline?.timeLeft : undefined);
          return { cancel: ignore, pause: ignore, resume: ignore };
        },
        isWithheld: () => false,
        onReached: ignore,
        onUnreached: ignore,
      });
      clock.advance(1);
      expect(ends.map(String)).toEqual(end === undefined ? [] : [end]);
      expect(toldTimes).toEqual(told);
    });
  });
});
