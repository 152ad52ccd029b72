import { createGrowingBuffer } from '@rattanreel/connections';
import type { ResponseRelay } from '../front/types';
import type { ResponseHead } from '../servers/types';

/** Bounds the memory: a larger response is passed on before its end, and the other copy cancelled. */
const MAXIMUM_HELD_BYTES = 65_536;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

interface ResponseGateOptions {
  readonly response: ResponseRelay;
  /** Whether the first data decides, as in a stream; otherwise the complete response does. */
  readonly isStream: boolean;
  /** Called once, when this copy's response is the one to be passed on. */
  readonly onWin: () => void;
}

interface ResponseGate extends ResponseRelay {
  /** Passes on what was held. */
  open(): void;
}

/** Holds the response of one copy of a request until it is the one that the caller gets. */
export default function createResponseGate(options: ResponseGateOptions): ResponseGate {
  const { response, isStream } = options;
  let head: ResponseHead | undefined;
  const held = createGrowingBuffer();
  // The rest of a stream that another server began is passed on as it arrives.
  let isOpen = response.isCommitted();

  function open(): void {
    if (isOpen) {
      return;
    }
    isOpen = true;
    options.onWin();
    if (head !== undefined) {
      response.onHead(head);
    }
    if (held.length > 0) {
      response.onData(held.take());
    }
  }

  function isSuccess(): boolean {
    return head !== undefined && head.status >= HTTP_OK && head.status < HTTP_MULTIPLE_CHOICES;
  }

  return {
    isCommitted: response.isCommitted,
    canResume: response.canResume,
    getLastEventId: response.getLastEventId,
    open,
    onHead(next) {
      head = next;
      if (isOpen) {
        response.onHead(next);
      }
    },
    onData(chunk) {
      if ((isStream && isSuccess()) || held.length + chunk.length > MAXIMUM_HELD_BYTES) {
        open();
      }
      if (isOpen) {
        return response.onData(chunk);
      }
      held.append(chunk);
      return true;
    },
    finish() {
      open();
      response.finish();
    },
  };
}
