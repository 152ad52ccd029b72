import type { HandlerGuard, PeerTransportOptions } from './types';

/**
 * Creates the guard of this host's handlers: what a peer sends may make a handler throw, but must
 * not end the process, which has requests of callers in flight.
 */
export default function createHandlerGuard(
  onHandlerError: PeerTransportOptions<never, never, never>['onHandlerError'],
): HandlerGuard {
  return {
    tryRun(input, handler) {
      try {
        return handler();
      } catch (error) {
        onHandlerError(input, error);
        return undefined;
      }
    },
  };
}
