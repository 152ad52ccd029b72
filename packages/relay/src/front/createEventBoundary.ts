import type { ResponseHead } from '../servers/types';
import isEventStream from './isEventStream';

/** A blank line is recognized by the last bytes before it. */
const TAIL_BYTES = 3;
const BLANK_LINE = /\n\r?\n$|\r\r$/;

interface EventBoundary {
  recordHead(head: ResponseHead): void;
  recordData(chunk: Buffer): void;
  /**
   * Whether a response that has ended was broken off: it is an event stream whose end only the
   * close of its connection marks, and that came before the end of an event.
   */
  isBrokenOff(): boolean;
}

/** Follows whether an event stream is between two events (HTML standard, section 9.2.6). */
export default function createEventBoundary(): EventBoundary {
  let isDelimitedByClose = false;
  let tail = '';

  return {
    recordHead(head) {
      isDelimitedByClose = head.isDelimitedByClose && isEventStream(head);
      tail = '';
    },
    recordData(chunk) {
      tail = (tail + chunk.subarray(-TAIL_BYTES).toString('latin1')).slice(-TAIL_BYTES);
    },
    isBrokenOff: () => isDelimitedByClose && !BLANK_LINE.test(tail),
  };
}
