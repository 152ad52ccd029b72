import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import { createGrowingBuffer } from '@rattanreel/connections';
import toRawHeaders from './toRawHeaders';

/**
 * Responses up to this size are forwarded only when complete, so that a broken one can be retried.
 */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Buffers a response until it is complete; a large one is forwarded as it arrives. */
export default function createBufferedResponse(exchange: CallerExchange): ResponseRelay {
  let head: ResponseHead | undefined;
  const buffered = createGrowingBuffer();
  let isCommitted = false;

  /** Returns false when the caller reads too slowly for what was sent. */
  function commit(): boolean {
    let isDrained = true;
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      exchange.sendHead(head.status, toRawHeaders(head.headers), head.isDelimitedByClose);
      isDrained = buffered.length === 0 || exchange.sendData(buffered.take());
    }
    return isDrained;
  }

  return {
    isCommitted: () => isCommitted,
    canResume: () => false,
    getLastEventId: () => undefined,
    onHead(next) {
      head = next;
      buffered.take();
    },
    onData(chunk) {
      if (isCommitted) {
        return exchange.sendData(chunk);
      }
      buffered.append(chunk);
      const { length } = buffered;
      return length > MAXIMUM_BUFFERED_BYTES || !exchange.tryBuffer(length) ? commit() : true;
    },
    finish() {
      commit();
      exchange.finish();
    },
  };
}
