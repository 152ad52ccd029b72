import type { AnswerHead } from '../servers/types';
import type { AnswerRelay, CallerExchange } from './types';
import toRawHeaders from './toRawHeaders';

/** Passes a stream on as it comes, from its first byte on. */
export default function createEventAnswer(exchange: CallerExchange): AnswerRelay {
  let head: AnswerHead | undefined;
  let isCommitted = false;

  function commit(): void {
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      exchange.sendHead(head.status, toRawHeaders(head.headers), head.isDelimitedByClose);
    }
  }

  return {
    isCommitted: () => isCommitted,
    resumeAfter: () => undefined,
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
