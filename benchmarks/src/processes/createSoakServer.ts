import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Random } from '@rattanreel/core';
import createLinkProxy from './createLinkProxy';
import getExpectedResponse from './getExpectedResponse';
import sendChunks from './sendChunks';
import type { SoakRecorder, ServerMode, SoakRoute, SoakServer } from './types';

const SLOT_COUNT = 4;
/** Maximum number of requests that wait for a slot; further ones are refused. */
const MAXIMUM_QUEUED_REQUESTS = 8;
const MEAN_WORK_MILLISECONDS = 40;
const CHUNK_INTERVAL_MILLISECONDS = 20;
const ENDLESS_PIECE = Buffer.alloc(65_536, 'x');
const ENDLESS_INTERVAL_MILLISECONDS = 10;
/** Share of requests that fail, or whose response is lost, in the respective mode. */
const FAULTY_REQUEST_SHARE = 0.5;

interface SoakServerOptions {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly random: Random;
  readonly recorder: SoakRecorder;
}

function getHeader(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Returns the time that the caller asks for in the path (`/ROUTE/MILLISECONDS/PADDING`), if it does. */
function getWorkDuration({ url }: IncomingMessage): number | undefined {
  const duration = Number(url?.split('/')[2]);
  return duration > 0 ? duration : undefined;
}

function refuse(outgoing: ServerResponse, id: string, status: number): void {
  outgoing.writeHead(status, {
    'x-rattanreel-request-id': id,
    'x-rattanreel-not-executed': '1',
  });
  outgoing.end();
}

/** Creates a backend server of the soak behind its own link proxy. */
export default async function createSoakServer(options: SoakServerOptions): Promise<SoakServer> {
  const { id: serverId, service, failureDomain, random, recorder } = options;
  const waiting: (() => void)[] = [];
  let running = 0;
  let mode: ServerMode = 'well';
  let pace = 1;

  function releaseSlot(): void {
    running -= 1;
    waiting.shift()?.();
  }

  /** Sends a part of a response without a length, and resets its connection. */
  function breakOff({ socket }: IncomingMessage, id: string, chunk: string): void {
    const head = [
      'HTTP/1.1 200 OK',
      `x-rattanreel-request-id: ${id}`,
      `x-rattanreel-response-seal: ${id}.${serverId}`,
      'content-type: text/event-stream',
    ];
    recorder.recordServerBreak(serverId, id);
    socket.write([...head, '', chunk.slice(0, -1)].join('\r\n'), () => {
      socket.resetAndDestroy();
      releaseSlot();
    });
  }

  /** Sends an event that does not end until the connection is closed. */
  function sendWithoutEnd(outgoing: ServerResponse, id: string): void {
    recorder.recordServerBreak(serverId, id);
    const timer = setInterval(() => outgoing.write(ENDLESS_PIECE), ENDLESS_INTERVAL_MILLISECONDS);
    outgoing.once('close', () => {
      clearInterval(timer);
      releaseSlot();
    });
  }

  function respond(incoming: IncomingMessage, outgoing: ServerResponse, id: string): void {
    const route = (incoming.url ?? '').split('/')[1] as SoakRoute;
    const padding = Number((incoming.url ?? '').split('/')[3] ?? 0);
    const chunks = getExpectedResponse(route, id, padding);
    const chatInterval = (getWorkDuration(incoming) ?? 0) / chunks.length;
    const after = Number(getHeader(incoming, 'last-event-id') ?? 0);
    const isFaulty = random.next() < FAULTY_REQUEST_SHARE;
    if (outgoing.destroyed) {
      releaseSlot();
    } else if (mode === 'losesAnswers' && isFaulty) {
      recorder.recordServerBreak(serverId, id);
      incoming.socket.destroy();
      releaseSlot();
    } else if (mode === 'fails' && isFaulty) {
      outgoing.writeHead(500, { 'x-rattanreel-request-id': id });
      outgoing.end('failed');
      releaseSlot();
    } else if (mode === 'breaksOff' && isFaulty) {
      breakOff(incoming, id, chunks.slice(after).join(''));
    } else {
      outgoing.writeHead(200, {
        'x-rattanreel-request-id': id,
        'x-rattanreel-response-seal': `${id}.${serverId}`,
        'x-rattanreel-engine-load': `${running},${waiting.length},${SLOT_COUNT}`,
        ...(route === 'draft' || route === 'chat' ? { 'content-type': 'text/event-stream' } : {}),
      });
      if (mode === 'sendsWithoutEnd' && route === 'draft' && isFaulty) {
        sendWithoutEnd(outgoing, id);
      } else {
        sendChunks({
          outgoing,
          chunks: chunks.slice(after),
          getInterval: () => (route === 'chat' ? chatInterval * pace : CHUNK_INTERVAL_MILLISECONDS),
          onEnd: releaseSlot,
        });
      }
    }
  }

  function runRequest(incoming: IncomingMessage, outgoing: ServerResponse, id: string): void {
    if (outgoing.destroyed) {
      waiting.shift()?.();
      return;
    }
    running += 1;
    const recordEnd = recorder.recordRun({
      id,
      server: serverId,
      failureDomain,
      at: recorder.now(),
      customer: getHeader(incoming, 'x-rattanreel-tenant'),
      hasKey: getHeader(incoming, 'x-rattanreel-key') !== undefined,
    });
    outgoing.once('close', recordEnd);
    if (mode === 'hangs') {
      outgoing.once('close', releaseSlot);
      return;
    }
    setTimeout(
      () => respond(incoming, outgoing, id),
      (service === 'chats' ? undefined : getWorkDuration(incoming)) ??
        MEAN_WORK_MILLISECONDS * (0.5 + random.next()),
    );
  }

  const server = createServer((incoming, outgoing) => {
    const id = getHeader(incoming, 'x-rattanreel-request-id') ?? '';
    incoming.resume();
    incoming.on('end', () => {
      const expected = getHeader(incoming, 'x-rattanreel-expect-instance');
      if (expected !== undefined && expected !== serverId) {
        refuse(outgoing, id, 421);
        return;
      }
      recorder.recordArrival(service, id);
      if (
        running >= SLOT_COUNT + MAXIMUM_QUEUED_REQUESTS ||
        waiting.length >= MAXIMUM_QUEUED_REQUESTS
      ) {
        refuse(outgoing, id, 503);
      } else if (running < SLOT_COUNT) {
        runRequest(incoming, outgoing, id);
      } else {
        waiting.push(() => runRequest(incoming, outgoing, id));
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const link = await createLinkProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`);

  return {
    id: serverId,
    service,
    failureDomain,
    link: {
      ...link,
      resetAll() {
        recorder.recordServerBreak(serverId);
        link.resetAll();
      },
    },
    setMode(next) {
      mode = next;
    },
    setPace(factor) {
      pace = factor;
    },
    close() {
      recorder.recordServerBreak(serverId);
      link.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
