import type { ResponseHead } from '../servers/types';
import type { ResponseRelay, CallerExchange } from './types';
import { createGrowingBuffer } from '@rattanreel/connections';
import findEventsEnd from './findEventsEnd';
import isEventStream from './isEventStream';
import toRawHeaders from './toRawHeaders';

const EMPTY = Buffer.alloc(0);
/**
 * Bytes of an event that are kept until it is complete. A larger event is forwarded in parts, which
 * no other server could continue.
 */
const MAXIMUM_EVENT_BYTES = 262_144;
/** Bytes before a chunk by which a blank line at its start is recognized. */
const TAIL_BYTES = 2;
const EVENT_ID = /(?:^|[\r\n])id: ?([^\r\n]*)/g;
/** An identifier that arrives unchanged as the value of a header. */
const SENDABLE_ID = /^[\x21-\x7e\x80-\xff](?:[\x20-\x7e\x80-\xff]{0,1022}[\x21-\x7e\x80-\xff])?$/;

/**
 * Forwards a stream in complete events, so that another backend server can continue it after a
 * failure. The caller receives the headers of the first response of which any part was forwarded.
 */
export default function createResumableResponse(exchange: CallerExchange): ResponseRelay {
  let head: ResponseHead | undefined;
  let isCommitted = false;
  /** The event of which the end has not arrived. */
  const incompleteEvent = createGrowingBuffer();
  let tail: Buffer = EMPTY;
  let isEventDivided = false;
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

  /** Returns the kept part of an event with its rest; most events arrive as a whole. */
  function takeEvents(rest: Buffer): Buffer {
    if (incompleteEvent.length === 0) {
      return rest;
    }
    incompleteEvent.append(rest);
    return incompleteEvent.take();
  }

  function forwardEvents(bytes: Buffer): boolean {
    commit();
    lastEventId = [...bytes.toString('latin1').matchAll(EVENT_ID)].at(-1)?.[1] ?? lastEventId;
    return exchange.sendData(bytes);
  }

  function forwardPart(): boolean {
    isEventDivided = true;
    commit();
    return exchange.sendData(incompleteEvent.take());
  }

  return {
    isCommitted: () => isCommitted,
    canResume: () => !isEventDivided && lastEventId !== undefined && SENDABLE_ID.test(lastEventId),
    getLastEventId: () => lastEventId,
    onHead(next) {
      incompleteEvent.take();
      tail = EMPTY;
      if (!isCommitted) {
        head = next;
      }
    },
    onData(chunk) {
      if (isEventDivided) {
        return exchange.sendData(chunk);
      }
      const end = findEventsEnd(tail, chunk);
      tail =
        chunk.length >= TAIL_BYTES
          ? chunk.subarray(-TAIL_BYTES)
          : Buffer.concat([tail, chunk]).subarray(-TAIL_BYTES);
      if (end === 0) {
        incompleteEvent.append(chunk);
        return incompleteEvent.length > MAXIMUM_EVENT_BYTES ? forwardPart() : true;
      }
      const events = takeEvents(chunk.subarray(0, end));
      if (end < chunk.length) {
        incompleteEvent.append(chunk.subarray(end));
      }
      return forwardEvents(events);
    },
    finish() {
      commit();
      if (incompleteEvent.length > 0) {
        exchange.sendData(incompleteEvent.take());
      }
      exchange.finish();
    },
  };
}
