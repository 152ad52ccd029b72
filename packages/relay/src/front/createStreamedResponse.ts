import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import toRawHeaders from './toRawHeaders';

/** Forwards a stream as it arrives, from its first byte. */
export default function createStreamedResponse(exchange: CallerExchange): ResponseRelay {
  let head: ResponseHead | undefined;
  let isCommitted = false;

  function commit(): void {
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      exchange.sendHead(head.status, toRawHeaders(head.headers), head.isDelimitedByClose);
    }
  }

  return {
    isCommitted: () => isCommitted,
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
