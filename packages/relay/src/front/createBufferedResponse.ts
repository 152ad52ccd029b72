import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import toRawHeaders from './toRawHeaders';

/**
 * Responses up to this size are forwarded only when complete, so that a broken one can be retried.
 */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Buffers a response until it is complete; a large one is forwarded as it arrives. */
export default function createBufferedResponse(exchange: CallerExchange): ResponseRelay {
  let head: ResponseHead | undefined;
  let bufferedChunks: Buffer[] = [];
  let bufferedBytes = 0;
  let isCommitted = false;

  function commit(): void {
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      exchange.sendHead(head.status, toRawHeaders(head.headers), head.isDelimitedByClose);
      bufferedChunks.forEach((chunk) => exchange.sendData(chunk));
      bufferedChunks = [];
    }
  }

  return {
    isCommitted: () => isCommitted,
    getLastEventId: () => undefined,
    onHead(next) {
      head = next;
      bufferedChunks = [];
      bufferedBytes = 0;
    },
    onData(chunk) {
      if (isCommitted) {
        return exchange.sendData(chunk);
      }
      bufferedChunks.push(chunk);
      bufferedBytes += chunk.length;
      if (bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
        commit();
      }
      return true;
    },
    finish() {
      commit();
      exchange.finish();
    },
  };
}
