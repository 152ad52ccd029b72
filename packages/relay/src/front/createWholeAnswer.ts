import type { AnswerHead } from '../servers/types';
import type { AnswerRelay, CallerExchange } from './types';
import toRawHeaders from './toRawHeaders';

/** Answers up to this size are passed on only once they are whole, so that a cut one can be repeated. */
const HELD_BYTES = 262_144;

/** Holds an answer back until it is whole; one that grows large is passed on as it comes. */
export default function createWholeAnswer(exchange: CallerExchange): AnswerRelay {
  let head: AnswerHead | undefined;
  let held: Buffer[] = [];
  let heldBytes = 0;
  let isCommitted = false;

  function commit(): void {
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      exchange.sendHead(head.status, toRawHeaders(head.headers), head.isDelimitedByClose);
      held.forEach((chunk) => exchange.sendData(chunk));
      held = [];
    }
  }

  return {
    isCommitted: () => isCommitted,
    resumeAfter: () => undefined,
    onHead(next) {
      head = next;
      held = [];
      heldBytes = 0;
    },
    onData(chunk) {
      if (isCommitted) {
        return exchange.sendData(chunk);
      }
      held.push(chunk);
      heldBytes += chunk.length;
      if (heldBytes > HELD_BYTES) {
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
