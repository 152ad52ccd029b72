import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import toRawHeaders from './toRawHeaders';

/** Passes a stream on as it comes, from its first byte on. */
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
