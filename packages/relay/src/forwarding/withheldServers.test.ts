import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock, createRandom } from '@rattanreel/core';
import type { TaskListener } from '@rattanreel/transport';
import { silentLogger } from '@rattanreel/observability';
import createServerEmbargo from '../decisions/createServerEmbargo';
import createTestServer from '../testing/createTestServer';
import type { AttemptOutcome, ListedServer, PeerAddress } from '../types';
import createForwarding from './createForwarding';
import type { ForwardProgress, ForwardTask } from './types';

const CONNECT_TIME = 200;

type Knowledge = 'nothing' | 'draining' | 'evacuated' | 'leaving' | 'another process drains';

interface WithheldCase {
  /** What the host learns while the first peer is asked in vain. */
  readonly known: Knowledge;
  readonly isSent: boolean;
}

const cases: readonly WithheldCase[] = [
  { known: 'nothing', isSent: true },
  { known: 'draining', isSent: false },
  { known: 'evacuated', isSent: false },
  { known: 'leaving', isSent: false },
  { known: 'another process drains', isSent: true },
];

const { listed: server } = createTestServer();
const REQUEST = {
  requestId: 'r1',
  method: 'POST',
  target: '/',
  headers: [],
  body: Buffer.alloc(0),
  requestIdHeader: 'x-id',
  notRunHeader: 'x-not-run',
  retryAfterHeader: 'retry-after',
};
const ignore = (): void => undefined;

function createHost() {
  const clock = createVirtualClock();
  const embargo = createServerEmbargo();
  const ends: AttemptOutcome['kind'][] = [];
  const sent: string[] = [];
  let evacuated: ReadonlySet<string> = new Set();
  const sink = {
    onHead: ignore,
    onData: () => true,
    onEnd: ({ kind }: AttemptOutcome) => ends.push(kind),
  };
  const peers = ['0', '1', '2'].map((address): PeerAddress => ({
    entryHost: `host-${address}`,
    address,
    failureDomain: 'domain',
    capacity: 1,
  }));
  const forwarding = createForwarding({
    clock,
    logger: silentLogger,
    random: createRandom(1),
    isServing: () => true,
    embargo,
    getEvacuated: () => evacuated,
    loopDelay: { getArrivalTime: clock.now },
    direct: {
      send() {
        sent.push('direct');
        return { abort: ignore, resume: ignore };
      },
      checkListening: (_, onChecked) => onChecked('unreachable'),
      renew: ignore,
      retainServers: ignore,
      close: async () => undefined,
    },
    getLink: () => ({
      listPeers: () => peers,
      listLatePeers: () => new Set(),
      perform(address: string, task: ForwardTask, listener: TaskListener<ForwardProgress>) {
        if (task.kind === 'check') {
          listener.onProgress({ kind: 'checked', listening: 'accepting' });
          listener.onEnd('ended');
        } else {
          sent.push(address);
          clock.after(CONNECT_TIME, () => listener.onEnd('unreachable'));
        }
        return { cancel: ignore, pause: ignore, resume: ignore };
      },
    }),
  });
  const setListed = (listed: ListedServer): void =>
    forwarding.connections.retainServers(new Map([[server.id, listed]]));
  setListed(server);
  return {
    clock,
    forwarding,
    sink,
    sent,
    ends,
    learn(known: Knowledge): void {
      switch (known) {
        case 'nothing':
          return;
        case 'draining':
          setListed({ ...server, isDraining: true });
          return;
        case 'another process drains':
          setListed({ ...server, startedAt: 2, isDraining: true });
          return;
        case 'evacuated':
          evacuated = new Set([server.failureDomain]);
          return;
        case 'leaving':
          embargo.recordLeaving(server, clock.now());
          return;
        default:
          known satisfies never;
      }
    },
  };
}

describe('a server to which nothing more may be sent', () => {
  cases.forEach(({ known, isSent }) => {
    // Guards against an attempt that reaches a server long after its host has learnt that it drains.
    it(`is left while peers are asked, if ${known} becomes known: ${!isSent}`, () => {
      const { clock, forwarding, sink, sent, ends, learn } = createHost();
      forwarding.connections.checkListening(server, ignore);
      forwarding.connections.send(server, REQUEST, sink);
      learn(known);
      clock.advance(CONNECT_TIME * 2);
      expect(sent.length).toEqual(isSent ? 3 : 1);
      clock.advance(CONNECT_TIME * 3);
      expect(ends).toEqual(['notConnected']);
    });

    // Guards against a host that sends, for a peer, what it would not send itself.
    it(`gets nothing for a peer, if ${known} is known: ${!isSent}`, () => {
      const { forwarding, sent, learn } = createHost();
      const reports: ForwardProgress[] = [];
      learn(known);
      forwarding.tasks.begin(
        { kind: 'attempt', server, request: REQUEST },
        { report: (progress) => reports.push(progress) > 0, onDrain: ignore, end: ignore },
      );
      expect(sent).toEqual(isSent ? ['direct'] : []);
      expect(reports).toEqual(isSent ? [] : [{ kind: 'end', outcome: { kind: 'notConnected' } }]);
    });
  });
});
