import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import isEventStream from './isEventStream';
import toRawHeaders from './toRawHeaders';

/** Forwards a stream as it arrives, from its first byte. */
export default function createStreamedResponse(exchange: CallerExchange): ResponseRelay {
  let head: ResponseHead | undefined;
  let isCommitted = false;

  function commit(): void {
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      // An event stream is sent in chunks, so that the caller also sees when this host breaks it off.
      const isDelimitedByClose = head.isDelimitedByClose && !isEventStream(head);
      exchange.sendHead(head.status, toRawHeaders(head.headers), isDelimitedByClose);
    }
  }

  return {
    isCommitted: () => isCommitted,
    canResume: () => false,
    getLastEventId: () => undefined,
    onHead(next) {
      head = next;
    },
    onData(chunk) {
      commit();
      return exchange.sendData(chunk);
    },
    finish() {
      commit();
      exchange.finish();
    },
  };
}
