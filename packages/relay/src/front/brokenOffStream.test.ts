import { connect } from 'node:net';
import type { IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createSystemClock, createVirtualClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import createRequestHandler from '../createRequestHandler';
import createRequestClassifier from '../decisions/createRequestClassifier';
import createRouteTable from '../decisions/createRouteTable';
import createServerEmbargo from '../decisions/createServerEmbargo';
import createCrashGuard from '../crashes/createCrashGuard';
import type { ServerConnections } from '../servers/types';
import createTestServer from '../testing/createTestServer';
import headerNames from '../testing/headerNames';
import createCallerEndpoint from './createCallerEndpoint';
import createRelayMetrics from './createRelayMetrics';
import createRequestObserver from './createRequestObserver';

interface StreamCase {
  readonly name: string;
  readonly isResumable: boolean;
  readonly isDelimitedByClose: boolean;
  /** Data of the stream, which then ends as if it was whole. */
  readonly data: readonly string[];
  readonly end: 'finished' | 'aborted';
}

const EVENT = 'id: 1\ndata: text\n\n';
const CUT_EVENT = 'id: 2\ndata: te';

const cases: readonly StreamCase[] = [true, false].flatMap((isResumable): StreamCase[] => [
  { name: 'after an event', isResumable, isDelimitedByClose: true, data: [EVENT], end: 'finished' },
  {
    name: 'after an event in two parts',
    isResumable,
    isDelimitedByClose: true,
    data: ['id: 1\ndata: text\r\n', '\r\n'],
    end: 'finished',
  },
  {
    name: 'inside an event',
    isResumable,
    isDelimitedByClose: true,
    data: [EVENT, CUT_EVENT],
    end: 'aborted',
  },
  {
    name: 'between the lines of an event',
    isResumable,
    isDelimitedByClose: true,
    data: [EVENT, 'id: 2\ndata: text\n'],
    end: 'aborted',
  },
  { name: 'before any event', isResumable, isDelimitedByClose: true, data: [], end: 'aborted' },
  {
    name: 'with its length or last chunk',
    isResumable,
    isDelimitedByClose: false,
    data: [EVENT, 'data: [DONE]\n'],
    end: 'finished',
  },
]);

/** Relays one stream from a server that sends `data` and ends; returns how the caller sees it end. */
function relayStream(streamCase: StreamCase): string {
  const { isResumable, isDelimitedByClose, data } = streamCase;
  const clock = createVirtualClock();
  const random = createRandom(1);
  let end = 'open';
  const connections: ServerConnections = {
    send(_, { requestId }, sink) {
      const headers = {
        [headerNames.requestId]: requestId,
        'content-type': 'text/event-stream',
      };
      clock.after(1, () => {
        sink.onHead({ status: 200, headers, isDelimitedByClose });
        data.forEach((part) => sink.onData(Buffer.from(part)));
        sink.onEnd({ kind: 'whole', status: 200 });
      });
      return { abort: () => undefined, resume: () => undefined };
    },
    checkListening: (_, onChecked) => onChecked('accepting'),
    renew: () => undefined,
    retainServers: () => undefined,
    close: async () => undefined,
  };
  const { listed: server } = createTestServer();
  const handler = createRequestHandler({
    context: { clock, random, logger: silentLogger },
    names: headerNames,
    admission: {
      requestSlot({ onGranted }) {
        const view = { own: 0, others: 0, slowness: 1, failures: 0 };
        const ignore = (): void => undefined;
        onGranted({
          server,
          view,
          release: ignore,
          complete: ignore,
          recordLoad: ignore,
          recordLeaving: ignore,
        });
        return ignore;
      },
      refund: () => undefined,
      trySpendRetry: () => false,
      recordRequest: () => undefined,
    },
    embargo: createServerEmbargo(),
    crashGuard: createCrashGuard({ clock, logger: silentLogger, onChange: () => undefined }),
    serverLimits: {
      record: () => undefined,
      tryGetRate: () => undefined,
      merge: () => undefined,
      tryGetReport: () => undefined,
    },
    brittlePools: { record: () => undefined },
    classifier: createRequestClassifier(),
    connections,
    timeCheck: {
      isStopping: () => false,
      tryRefuseAdmission: () => undefined,
      tryRefuseDispatch: () => undefined,
      watchStop: () => () => undefined,
    },
    observer: createRequestObserver({
      logger: silentLogger,
      metrics: createRelayMetrics(),
      now: clock.now,
      getBasis: () => ({
        configurationVersion: 1,
        serversVersion: 1,
        evacuatedVersion: 1,
        rosterVersion: 1,
        hosts: 0,
        oldest: 0,
      }),
    }),
    getRoutes: () =>
      createRouteTable([
        {
          name: 'drafts',
          hostName: 'h',
          pathPrefix: '/',
          kind: 'stream',
          timeout: 4_000,
          objective: 400,
          tier: 0,
          targets: [{ pool: 'pool', weight: 1 }],
          maximumAttempts: 1,
          isAnonymous: true,
          isResumable,
        },
      ]),
    getCustomersByKey: () => undefined,
  });
  const headers = { host: 'h', [headerNames.requestId]: 'r1' };
  handler.handle(
    {
      method: 'POST',
      target: '/',
      rawHeaders: Object.entries(headers).flat(),
      body: Buffer.alloc(0),
      arrivedAt: clock.now(),
      sendHead(status, _, isOpenEnded) {
        const begun = isOpenEnded ? 'cannot be told from a broken one' : 'begun';
        end = status === 200 ? begun : 'aborted';
      },
      sendData: () => true,
      tryBuffer: () => true,
      finish() {
        end = end === 'begun' ? 'finished' : end;
      },
      abort() {
        end = 'aborted';
      },
      onDisconnect: () => undefined,
      onDrain: () => undefined,
    },
    { headers } as unknown as IncomingMessage,
  );
  clock.advance(100);
  return end;
}

describe('a stream that ends with its connection', () => {
  cases.forEach((streamCase) => {
    const kind = streamCase.isResumable ? 'a resumable stream' : 'a stream';
    const framing = streamCase.isDelimitedByClose ? 'by the close of its connection' : 'framed';
    // Guards against delivering a stream that was broken off inside an event as a complete one.
    it(`ends ${kind}, ${framing}, ${streamCase.name}, as ${streamCase.end}`, () => {
      expect(relayStream(streamCase)).toEqual(streamCase.end);
    });
  });

  // Guards against ending a broken answer in the way in which a complete one would end.
  it('is reset at the caller when it is broken off', async () => {
    const address = '127.0.0.1:18473';
    const endpoint = createCallerEndpoint({
      clock: createSystemClock(),
      getLimits: () => ({
        headerBytes: 16_384,
        bodyBytes: 1_024,
        headerTimeout: 1_000,
        idleTimeout: 1_000,
      }),
      onRequest(exchange) {
        exchange.sendHead(200, ['content-type', 'text/event-stream'], true);
        exchange.sendData(Buffer.from(EVENT));
        setTimeout(() => exchange.abort(), 50);
      },
      onTooLarge: () => undefined,
      onNoMemory: () => undefined,
    });
    await endpoint.listen(address);
    const socket = connect(18_473, '127.0.0.1');
    const end = await new Promise<string>((resolve) => {
      socket.on('data', () => undefined);
      socket.on('end', () => resolve('ended'));
      socket.on('error', ({ message }) => resolve(message));
      socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
    });
    endpoint.close();
    expect(end).toEqual('read ECONNRESET');
  });
});
