import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import toRawHeaders from './toRawHeaders';

/** Answers up to this size are passed on only once they are whole, so that a cut one can be repeated. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Holds an answer back until it is whole; one that grows large is passed on as it comes. */
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
