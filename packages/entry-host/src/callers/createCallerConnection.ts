import type { ServerResponse } from 'node:http';
import type { CallerConnection } from './types';

/**
 * Watches the caller's connection: when it closes before the response is complete, the request is
 * aborted.
 */
export default function createCallerConnection(outgoing: ServerResponse): CallerConnection {
  const controller = new AbortController();
  let disconnected = false;
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      disconnected = true;
      controller.abort();
    }
  });
  return {
    signal: controller.signal,
    isDisconnected: () => disconnected,
    abort: () => controller.abort(),
  };
}
