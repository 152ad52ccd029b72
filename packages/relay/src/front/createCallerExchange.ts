import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds } from '@rattanreel/core';
import type { CallerExchange } from './types';

interface CallerExchangeOptions {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly body: Buffer;
  readonly arrivedAt: Milliseconds;
  readonly handledAt: Milliseconds;
  readonly tryBuffer: (bytes: number) => boolean;
  /** Called when a part of the response has been written. */
  readonly onWritten: () => void;
  /** Whether the connection closes after this response. */
  readonly shouldCloseConnection: () => boolean;
}

/** Adapts a Node.js request and response to a {@link CallerExchange}. */
export default function createCallerExchange(options: CallerExchangeOptions): CallerExchange {
  const { incoming, outgoing } = options;
  let mustReset = false;

  return {
    method: incoming.method ?? 'GET',
    target: incoming.url ?? '/',
    rawHeaders: incoming.rawHeaders,
    body: options.body,
    arrivedAt: options.arrivedAt,
    handledAt: options.handledAt,
    sendHead(status, headers, isDelimitedByClose = false) {
      outgoing.sendDate = false;
      if (options.shouldCloseConnection() || isDelimitedByClose) {
        outgoing.shouldKeepAlive = false;
      }
      mustReset = isDelimitedByClose;
      if (isDelimitedByClose) {
        outgoing.useChunkedEncodingByDefault = false;
      }
      outgoing.writeHead(status, headers as string[]);
    },
    sendData(chunk) {
      const isDrained = outgoing.write(chunk);
      options.onWritten();
      return isDrained;
    },
    tryBuffer: options.tryBuffer,
    finish: () => {
      outgoing.end();
    },
    abort: () => {
      if (mustReset) {
        // A close would end the response as if it was complete.
        incoming.socket.resetAndDestroy();
      }
      outgoing.destroy();
    },
    onDisconnect(listener) {
      outgoing.once('close', () => {
        if (!outgoing.writableFinished) {
          listener();
        }
      });
    },
    onDrain(listener) {
      outgoing.on('drain', listener);
    },
  };
}
