import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Milliseconds } from '@rattanreel/core';
import createParserFeed from './createParserFeed';
import createUnsentWatch from './createUnsentWatch';
import getHeadBytes from './getHeadBytes';
import type {
  BodyReading,
  CallerMemory,
  IntakeConnection,
  IntakeEnd,
  IntakeLimits,
  ParsedMessage,
  WorkQueue,
} from './types';

/** Memory of a request and its response without their bytes. */
const REQUEST_BYTES = 6_144;
/** Memory of a header field without its bytes. */
const FIELD_BYTES = 96;
/** Memory of an incomplete head of short fields, for each of its bytes. */
const HEAD_FACTOR = 8;
/** Time for which a connection is read after a response that closes it, so that the caller gets it. */
const LINGER_TIME: Milliseconds = 1_000;
const TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n';

interface OpenRequest extends ParsedMessage {
  reading: BodyReading | undefined;
}

interface IntakeConnectionOptions {
  readonly socket: Socket;
  readonly parse: (bytes: Buffer) => void;
  readonly clock: Pick<Clock, 'now'>;
  readonly memory: CallerMemory;
  readonly queue: WorkQueue;
  readonly getLimits: () => IntakeLimits;
  /** Returns whether the connection may be read after its last response, and counts it. */
  readonly tryLinger: () => boolean;
  readonly onEnd: (end: IntakeEnd) => void;
}

/** A connection and what its server tells it. */
interface GuardedConnection extends IntakeConnection {
  /** Begins a request; returns whether its head is within the limit. */
  tryBegin(incoming: IncomingMessage, outgoing: ServerResponse): boolean;
  /** Returns the time since which no request waits for its response; undefined if one does. */
  tryGetIdleSince(): Milliseconds | undefined;
  /** Ends what has taken too long. */
  check(): void;
  /** Ends the connection for another one. */
  end(end: IntakeEnd): void;
}

function getBodyLength({ headers }: IncomingMessage): number | undefined {
  return headers['transfer-encoding'] === undefined
    ? Number(headers['content-length'] ?? 0)
    : undefined;
}

/** Returns the larger one of a request's target and its header fields, in bytes. */
function getLongestPart({ url = '', rawHeaders }: IncomingMessage): number {
  return Math.max(url.length, getHeadBytes(rawHeaders));
}

/** Returns about how much memory a request needs without its body. */
function getRequestBytes({ url = '', rawHeaders }: IncomingMessage): number {
  const fields = rawHeaders.length / 2;
  return REQUEST_BYTES + url.length + getHeadBytes(rawHeaders) + fields * FIELD_BYTES;
}

/** Bounds what one connection makes the process hold and do. */
export default function createIntakeConnection(
  options: IntakeConnectionOptions,
): GuardedConnection {
  const { socket, clock, getLimits } = options;
  const open = new Set<OpenRequest>();
  let latest: OpenRequest | undefined;
  /** Bytes parsed of a head, or of trailers, that are not complete. */
  let headBytes = 0;
  let headSince: Milliseconds | undefined;
  let idleSince = clock.now();
  let requestBytes = 0;
  let isClosing = false;
  const unsentWatch = createUnsentWatch({ socket, openedAt: idleSince });
  const share = options.memory.open(() => end('evicted'));

  function isComplete(): boolean {
    return latest === undefined || latest.incoming.complete;
  }

  function update(): void {
    share.set(
      isClosing
        ? 0
        : feed.getWaitingBytes() + headBytes * HEAD_FACTOR + requestBytes + socket.writableLength,
    );
  }

  function recordArrival(): void {
    const isHeadOpen = headBytes > 0 && open.size === 0;
    headSince = isHeadOpen ? (headSince ?? clock.now()) : undefined;
    share.recordArrival(isHeadOpen || !isComplete());
  }

  const feed = createParserFeed({
    socket,
    parse: options.parse,
    queue: options.queue,
    tryGetMessage: () => latest,
    isAnswered: () => open.size === 0,
    onParsed(bytes, received) {
      const isHead = isComplete() && open.size === 0;
      const isTrailer = !isComplete() && received === 0;
      headBytes = isHead || isTrailer ? headBytes + bytes : 0;
      recordArrival();
      update();
    },
  });

  /** Ends an incomplete request by a response, and all else at once. */
  function end(cause: IntakeEnd): void {
    options.onEnd(cause);
    const reading =
      latest !== undefined && !isComplete() && open.has(latest) ? latest.reading : undefined;
    stop();
    if (reading === undefined) {
      socket.destroy();
    } else {
      reading.stop(cause === 'bodyLate' ? 'late' : 'evicted');
    }
  }

  function stop(): void {
    isClosing = true;
    feed.stop();
    headBytes = 0;
    headSince = undefined;
    share.recordArrival(false);
    update();
  }

  /** Reads on for a while after the last response, since a close would discard it at the caller. */
  function linger(): void {
    socket.end();
    socket.resume();
    const timer = setTimeout(() => socket.destroy(), LINGER_TIME).unref();
    socket.once('close', () => clearTimeout(timer));
  }

  const { destroySoon } = socket;
  Object.assign(socket, {
    destroySoon() {
      const mayBeSending = isClosing || !isComplete();
      stop();
      if (mayBeSending && options.tryLinger()) {
        linger();
      } else {
        destroySoon.call(socket);
      }
    },
  });

  socket.on('data', (bytes) => {
    options.memory.recordReceived(bytes.length);
    feed.receive(bytes);
    update();
  });
  socket.once('close', () => {
    feed.stop();
    share.end();
  });

  return {
    tryBegin(incoming, outgoing) {
      const size = getLongestPart(incoming);
      const bytes = getRequestBytes(incoming);
      const request: OpenRequest = {
        incoming,
        length: getBodyLength(incoming),
        getReceived: () => (request.reading?.getReceived() ?? 0) + incoming.readableLength,
        reading: undefined,
      };
      latest = request;
      idleSince = clock.now();
      open.add(request);
      requestBytes += bytes;
      headBytes = 0;
      outgoing.once('close', () => {
        open.delete(request);
        requestBytes -= bytes;
        // Refers to the request, which the connection keeps until the next one.
        request.reading = incoming.complete ? undefined : request.reading;
        idleSince = clock.now();
        update();
        feed.goOn();
      });
      if (size > getLimits().headerBytes) {
        options.onEnd('headTooLarge');
        stop();
        return false;
      }
      return true;
    },
    setReading(incoming, reading) {
      if (latest?.incoming === incoming) {
        latest.reading = reading;
      }
    },
    countUnsent: update,
    tryGetIdleSince: () => (open.size > 0 && isComplete() ? undefined : (headSince ?? idleSince)),
    check() {
      const now = clock.now();
      update();
      const { headerTimeout, idleTimeout } = getLimits();
      if (unsentWatch.measure(now) > idleTimeout) {
        options.onEnd('unread');
        socket.destroy();
        return;
      }
      if (isClosing) {
        return;
      }
      if (headSince !== undefined && now - headSince > headerTimeout) {
        socket.write(TIMEOUT_RESPONSE);
        end('headLate');
      } else if (socket.bytesRead === 0 && now - idleSince > Math.max(headerTimeout, idleTimeout)) {
        options.onEnd('headLate');
        socket.destroy();
      } else if (!isComplete() && now >= (latest?.reading?.expiresAt ?? Infinity)) {
        end('bodyLate');
      }
    },
    end,
  };
}
