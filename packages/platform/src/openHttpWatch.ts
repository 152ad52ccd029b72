import { createInterface } from 'node:readline';
import { Client } from 'undici';
import { createTrackedConnector, guardResponses } from '@rattanreel/connections';
import type { Milliseconds } from '@rattanreel/core';
import schemas from './schemas';
import type { Watch, WatchLine, WatchRequest } from './types';

const CONNECT_TIMEOUT: Milliseconds = 800;
const HEADERS_TIMEOUT: Milliseconds = 5_000;
const HTTP_OK = 200;
const HTTP_GONE = 410;

interface HttpWatchOptions {
  readonly url: string;
  readonly request: WatchRequest;
  readonly listener: (line: WatchLine) => void;
}

function getPath(request: WatchRequest): string {
  const kind = encodeURIComponent(request.objectKind);
  const prefix = encodeURIComponent(request.prefix);
  return `/watch/${kind}?prefix=${prefix}&after=${request.after}`;
}

function parseLine(text: string): WatchLine {
  try {
    const line = schemas.watchLine.parse(JSON.parse(text));
    switch (line.type) {
      case 'changed':
        return { kind: 'changed', object: line.object };
      case 'removed':
        return { kind: 'removed', name: line.name, version: line.version };
      case 'bookmark':
        return { kind: 'bookmark', version: line.version };
      default:
        return line satisfies never;
    }
  } catch {
    return { kind: 'ended', reason: 'broken' };
  }
}

/** Opens one watch on its own connection, so that a dead connection is never used again. */
export default function openHttpWatch(options: HttpWatchOptions): Watch {
  const { listener } = options;
  const connector = createTrackedConnector({ timeout: CONNECT_TIMEOUT });
  const client = new Client(options.url, {
    connect: connector.connect,
    headersTimeout: HEADERS_TIMEOUT,
    // The owner of the watch detects idle connections.
    bodyTimeout: 0,
  }).compose(guardResponses(connector));

  async function readLines(): Promise<WatchLine> {
    const response = await client.request({ method: 'GET', path: getPath(options.request) });
    if (response.statusCode !== HTTP_OK) {
      const reason = response.statusCode === HTTP_GONE ? 'tooOld' : 'refused';
      return { kind: 'ended', reason };
    }
    for await (const text of createInterface({ input: response.body })) {
      const line = parseLine(text);
      if (line.kind === 'ended') {
        return line;
      }
      listener(line);
    }
    return { kind: 'ended', reason: 'broken' };
  }

  readLines()
    .catch((): WatchLine => ({ kind: 'ended', reason: 'broken' }))
    .then(listener)
    .catch(() => client.destroy());
  return {
    close() {
      client.destroy().catch(() => undefined);
    },
  };
}
