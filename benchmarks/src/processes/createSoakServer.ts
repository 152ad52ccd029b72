import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Random } from '@rattanreel/core';
import createLinkProxy from './createLinkProxy';
import getExpectedAnswer from './getExpectedAnswer';
import type { PromiseLedger, ServerMode, SoakRoute, SoakServer } from './types';

const SLOTS = 4;
/** Requests that wait for a slot before the server says that it is full. */
const QUEUE = 8;
const WORK_MS = 40;
const EVENT_MS = 20;
/** Share of requests that a failing server fails, or whose answer is lost. */
const BAD_SHARE = 0.5;

interface SoakServerOptions {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly random: Random;
  readonly ledger: PromiseLedger;
}

function getHeader(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** A backend server of the soak, behind a link of its own. */
export default async function createSoakServer(options: SoakServerOptions): Promise<SoakServer> {
  const { id: serverId, service, failureDomain, random, ledger } = options;
  const waiting: (() => void)[] = [];
  let running = 0;
  let mode: ServerMode = 'well';

  function refuse(outgoing: ServerResponse, id: string, status: number): void {
    outgoing.writeHead(status, {
      'x-rattanreel-request-id': id,
      'x-rattanreel-not-executed': '1',
    });
    outgoing.end();
  }

  function release(): void {
    running -= 1;
    waiting.shift()?.();
  }

  function sendPieces(outgoing: ServerResponse, pieces: readonly string[]): void {
    const [piece, ...rest] = pieces;
    if (piece === undefined || outgoing.destroyed) {
      outgoing.end();
      release();
      return;
    }
    outgoing.write(piece);
    setTimeout(() => sendPieces(outgoing, rest), EVENT_MS);
  }

  function answer(incoming: IncomingMessage, outgoing: ServerResponse, id: string): void {
    const route = (incoming.url ?? '').split('/')[1] as SoakRoute;
    const after = Number(getHeader(incoming, 'last-event-id') ?? 0);
    const isBad = random.next() < BAD_SHARE;
    if (mode === 'losesAnswers' && isBad) {
      incoming.socket.destroy();
      release();
    } else if (mode === 'fails' && isBad) {
      outgoing.writeHead(500, { 'x-rattanreel-request-id': id });
      outgoing.end('failed');
      release();
    } else {
      outgoing.writeHead(200, {
        'x-rattanreel-request-id': id,
        'x-rattanreel-response-seal': `${id}.${serverId}`,
        'x-rattanreel-engine-load': `${running},${waiting.length},${SLOTS}`,
        ...(route === 'draft' ? { 'content-type': 'text/event-stream' } : {}),
      });
      sendPieces(outgoing, getExpectedAnswer(route, id).slice(after));
    }
  }

  function run(incoming: IncomingMessage, outgoing: ServerResponse, id: string): void {
    if (outgoing.destroyed) {
      waiting.shift()?.();
      return;
    }
    running += 1;
    ledger.ran({
      id,
      server: serverId,
      failureDomain,
      at: ledger.now(),
      customer: getHeader(incoming, 'x-rattanreel-tenant'),
      hasKey: getHeader(incoming, 'x-rattanreel-key') !== undefined,
    });
    if (mode === 'hangs') {
      outgoing.once('close', release);
      return;
    }
    setTimeout(() => answer(incoming, outgoing, id), WORK_MS * (0.5 + random.next()));
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
      ledger.arrived(service, id);
      if (running >= SLOTS + QUEUE || waiting.length >= QUEUE) {
        refuse(outgoing, id, 503);
      } else if (running < SLOTS) {
        run(incoming, outgoing, id);
      } else {
        waiting.push(() => run(incoming, outgoing, id));
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
    link,
    setMode(next) {
      mode = next;
    },
    close() {
      link.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
