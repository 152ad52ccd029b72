import type { ServerResponse } from 'node:http';
import type { CallerPresence } from './types';

/** Watches the caller's connection: its loss before the answer's end ends the request. */
export default function createCallerPresence(outgoing: ServerResponse): CallerPresence {
  const controller = new AbortController();
  let gone = false;
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      gone = true;
      controller.abort();
    }
  });
  return {
    signal: controller.signal,
    isGone: () => gone,
    abort: () => controller.abort(),
  };
}
