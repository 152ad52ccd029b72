import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import isEventStream from './isEventStream';
import toRawHeaders from './toRawHeaders';

const EMPTY = Buffer.alloc(0);
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EVENT_ID = /(?:^|\n)id: ?([^\r\n]*)/g;

/** Returns the index after the blank line of the last complete event; 0 when there is none. */
function findEventsEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED) {
      const previousIndex = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (previousIndex >= 0 && bytes[previousIndex] === LINE_FEED) {
        return index + 1;
      }
    }
  }
  return 0;
}

/**
 * Forwards a stream in complete events, so that another backend server can continue it after a
 * failure. The caller receives the headers of the first response of which any part was forwarded.
 */
export default function createResumableResponse(exchange: CallerExchange): ResponseRelay {
  let head: ResponseHead | undefined;
  let isCommitted = false;
  let incompleteEvent: Buffer = EMPTY;
  let lastEventId: string | undefined;

  function commit(): void {
    if (!isCommitted && head !== undefined) {
      isCommitted = true;
      const headers = { ...head.headers };
      // The length is that of the first server's response; another server may frame the rest
      // differently.
      delete headers['content-length'];
      // An event stream is sent in chunks, so that the caller also sees when this host breaks it off.
      const isDelimitedByClose = head.isDelimitedByClose && !isEventStream(head);
      exchange.sendHead(head.status, toRawHeaders(headers), isDelimitedByClose);
    }
  }

  function forwardEvents(bytes: Buffer): boolean {
    commit();
    lastEventId = [...bytes.toString('latin1').matchAll(EVENT_ID)].at(-1)?.[1] ?? lastEventId;
    return exchange.sendData(bytes);
  }

  return {
    isCommitted: () => isCommitted,
    getLastEventId: () => lastEventId,
    onHead(next) {
      incompleteEvent = EMPTY;
      if (!isCommitted) {
        head = next;
      }
    },
    onData(chunk) {
      const bytes = incompleteEvent.length === 0 ? chunk : Buffer.concat([incompleteEvent, chunk]);
      const end = findEventsEnd(bytes);
      incompleteEvent = bytes.subarray(end);
      return end === 0 ? true : forwardEvents(bytes.subarray(0, end));
    },
    finish() {
      commit();
      if (incompleteEvent.length > 0) {
        exchange.sendData(incompleteEvent);
      }
      exchange.finish();
    },
  };
}
