import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { createSystemClock, Debug } from '@rattanreel/core';
import { createPeerTransport } from '@rattanreel/transport';
import type { Milliseconds } from '@rattanreel/core';
import createServerConnections from '../servers/createServerConnections';
import createTestServer from '../testing/createTestServer';
import type { AttemptOutcome, PeerAddress } from '../types';
import createForwardedTasks from './createForwardedTasks';
import forwardAttempt from './forwardAttempt';
import type { ForwardProgress, ForwardTask } from './types';

const clock = createSystemClock();
const loopDelay = {
  clock,
  getArrivalTime: clock.now,
  afterPendingEvents: (callback: () => void) => {
    setImmediate(callback);
  },
  afterSilence: (delay: Milliseconds, callback: () => void) => clock.after(delay, callback),
};
const ignore = (): void => undefined;

interface StopCase {
  readonly name: string;
  /** When each peer gets its signal, and when its process ends, from the start of the attempt. */
  readonly peers: readonly { readonly signalAt: Milliseconds; readonly endsAt: Milliseconds }[];
  readonly work: Milliseconds;
  readonly end: AttemptOutcome['kind'];
  /** Attempts that reach the server, and those of which it sees the connection close. */
  readonly sent: number;
  readonly cut: number;
}

const never = { signalAt: Infinity, endsAt: Infinity };
const cases: readonly StopCase[] = [
  {
    name: 'asks the next host if the first one stops',
    peers: [{ signalAt: 0, endsAt: 2_000 }, never],
    work: 50,
    end: 'whole',
    sent: 1,
    cut: 0,
  },
  {
    name: 'asks the next host if the first one has ended',
    peers: [{ signalAt: 0, endsAt: 0 }, never],
    work: 50,
    end: 'whole',
    sent: 1,
    cut: 0,
  },
  {
    name: 'has sent nothing if all hosts stop one after the other',
    peers: [
      { signalAt: 0, endsAt: 0 },
      { signalAt: 0, endsAt: 2_000 },
    ],
    work: 50,
    end: 'notConnected',
    sent: 0,
    cut: 0,
  },
  {
    name: 'gets the whole response of a host that stops meanwhile',
    peers: [{ signalAt: 100, endsAt: 2_000 }, never],
    work: 400,
    end: 'whole',
    sent: 1,
    cut: 0,
  },
  {
    name: 'learns at once that the host ends, and never that nothing was sent',
    peers: [{ signalAt: 100, endsAt: 300 }, never],
    work: 3_000,
    end: 'broken',
    sent: 1,
    cut: 1,
  },
];

async function createForwarder(entryHost: string) {
  const direct = createServerConnections({ loopDelay });
  let isServing = true;
  const tasks = createForwardedTasks({
    direct,
    canServe: () => isServing,
    getArrivalTime: clock.now,
  });
  const opened = await createPeerTransport<string, string, string, ForwardTask, ForwardProgress>({
    identity: { entryHost, incarnation: '1' },
    listenAddress: '127.0.0.1:0',
    security: { kind: 'plainLoopback' },
    onMessage: ignore,
    onQuestion: async () => '',
    onTask: ({ body }, reporter) => tasks.begin(body, reporter),
    onHandlerError: ignore,
  });
  const transport = Debug.checkDefined(opened.kind === 'ok' ? opened.value : undefined, 'peer');
  return {
    transport,
    peer: { entryHost, address: transport.address, failureDomain: 'near', capacity: 1 },
    stop() {
      isServing = false;
    },
    /** As `stop` of a host's core. */
    end: () => Promise.all([transport.close(), direct.close()]),
  };
}

describe('an attempt that another host sends, over real sockets', () => {
  cases.forEach(({ name, peers, work, ...expected }) => {
    // Guards against an attempt that ends unclear, late or as not run when its forwarder stops.
    it(name, async () => {
      let sent = 0;
      let cut = 0;
      const server = createServer((incoming, outgoing) => {
        sent += 1;
        incoming.resume();
        outgoing.writeHead(200, { 'x-id': 'r1' });
        outgoing.write('part');
        setTimeout(() => outgoing.end(), work);
        outgoing.once('close', () => {
          cut += outgoing.writableEnded ? 0 : 1;
        });
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as AddressInfo;
      const asking = await createForwarder('asking');
      const forwarders = await Promise.all(peers.map((_, index) => createForwarder(`${index}`)));
      try {
        const ends = peers.map(async ({ signalAt, endsAt }, index) => {
          await sleep(Math.min(signalAt, 5_000), undefined, { ref: false });
          forwarders[index]!.stop();
          await sleep(Math.min(endsAt - signalAt, 5_000), undefined, { ref: false });
          await forwarders[index]!.end();
        });
        await Promise.race([Promise.all(ends), sleep(50)]);
        const startedAt = clock.now();
        const outcome = await new Promise<AttemptOutcome>((resolve) => {
          forwardAttempt({
            clock,
            peers: forwarders.map(({ peer }): PeerAddress => peer),
            server: createTestServer({ address: `127.0.0.1:${port}` }).listed,
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
            sink: { onHead: ignore, onData: () => true, onEnd: resolve },
            forwarders: { recordWorking: ignore, recordFailed: ignore },
            perform: asking.transport.perform,
            isWithheld: () => false,
            onReached: ignore,
            onUnreached: ignore,
          });
        });
        const duration = clock.now() - startedAt;
        await sleep(100);
        expect({ end: outcome.kind, sent, cut }).toEqual(expected);
        expect(duration).toBeLessThan(1_500);
      } finally {
        await asking.end();
        await Promise.all(forwarders.map((forwarder) => forwarder.end()));
        server.closeAllConnections();
        server.close();
      }
    });
  });
});
