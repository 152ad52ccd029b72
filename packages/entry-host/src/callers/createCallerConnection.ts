import type { ServerResponse } from 'node:http';
import type { Admission } from '../types';
import type { CallerConnection } from './types';

/**
 * Watches the caller's connection: when it closes before the response is complete, the request is
 * aborted, and so it is when the grace period of a stop ends.
 */
export default function createCallerConnection(
  outgoing: ServerResponse,
  admission: Pick<Admission, 'watchExpiry'>,
): CallerConnection {
  const controller = new AbortController();
  let disconnected = false;
  const endWatch = admission.watchExpiry(() => controller.abort());
  outgoing.once('close', () => {
    endWatch();
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
