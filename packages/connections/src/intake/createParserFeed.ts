import type { Socket } from 'node:net';
import holdReading from './holdReading';
import type { ParsedMessage, WorkQueue } from './types';

/** Bytes that the parser gets at once while the next message is unknown. */
const SLICE_BYTES = 1_024;
const LARGEST_SLICE_BYTES = 65_536;
/** Bytes that may wait for the parser while the connection is read. */
const READ_AHEAD_BYTES = 16_384;
/** Bytes of a chunk beside its data. */
const CHUNK_FRAME_BYTES = 5;
/** Chunks of one slice from which the rest waits for its turn, and below which slices grow. */
const MANY_CHUNKS = 64;
const FEW_CHUNKS = 16;
/** Work of a slice of heads, in chunks. */
const HEAD_WORK = 16;

interface ParserFeedOptions {
  readonly socket: Socket;
  /** Parses bytes; the handlers of requests run meanwhile. */
  readonly parse: (bytes: Buffer) => void;
  readonly queue: WorkQueue;
  readonly tryGetMessage: () => ParsedMessage | undefined;
  /** Whether the message that was parsed last has a response. */
  readonly isAnswered: () => boolean;
  /** Called after each slice with its bytes, and how many of them belong to the body. */
  readonly onParsed: (bytes: number, received: number) => void;
}

interface ParserFeed {
  receive(bytes: Buffer): void;
  /** Parses what waits, in a later turn, now that the last request has its response. */
  goOn(): void;
  /** Bytes that were received and not parsed. */
  getWaitingBytes(): number;
  /** Discards what was received and will be. */
  stop(): void;
}

/**
 * Feeds the parser of one connection. A request is parsed when the one before it has its response, and
 * a body in many small chunks shares the processor with other connections.
 */
export default function createParserFeed(options: ParserFeedOptions): ParserFeed {
  const { socket, parse, queue, tryGetMessage } = options;
  let waiting: Buffer | undefined;
  let chunkedSliceBytes = SLICE_BYTES;
  let releaseReading: (() => void) | undefined;
  let isQueued = false;
  let isStopped = false;

  function tryGetBody(): ParsedMessage | undefined {
    const message = tryGetMessage();
    return message === undefined || message.incoming.complete ? undefined : message;
  }

  function getSliceBytes(): number {
    const body = tryGetBody();
    if (body === undefined) {
      return SLICE_BYTES;
    }
    return body.length === undefined
      ? chunkedSliceBytes
      : Math.max(body.length - body.getReceived(), SLICE_BYTES);
  }

  /** Parses one slice; returns how much work it was, in chunks. */
  function parseSlice(bytes: Buffer): number {
    const body = tryGetBody();
    const receivedBefore = body?.getReceived() ?? 0;
    parse(bytes);
    const received = (body?.getReceived() ?? 0) - receivedBefore;
    options.onParsed(bytes.length, received);
    if (body === undefined) {
      return HEAD_WORK;
    }
    if (body.length !== undefined) {
      return 0;
    }
    const frames = bytes.length - received;
    const chunks = Math.max(frames, 0) / CHUNK_FRAME_BYTES;
    if (chunks > MANY_CHUNKS) {
      chunkedSliceBytes = SLICE_BYTES;
    } else if (chunks < FEW_CHUNKS) {
      chunkedSliceBytes = Math.min(chunkedSliceBytes * 2, LARGEST_SLICE_BYTES);
    }
    return chunks;
  }

  function canParse(): boolean {
    return (
      waiting !== undefined &&
      !isStopped &&
      !socket.destroyed &&
      (tryGetBody() !== undefined || options.isAnswered())
    );
  }

  function updateReading(): void {
    const mustHold = waiting !== undefined && waiting.length > READ_AHEAD_BYTES;
    if (mustHold) {
      releaseReading ??= holdReading(socket);
    } else if (releaseReading !== undefined) {
      const release = releaseReading;
      releaseReading = undefined;
      release();
    }
  }

  /** Parses until a turn's work is done; returns how much work it was. */
  function runTurn(): number {
    isQueued = false;
    let work = 0;
    while (canParse() && work < MANY_CHUNKS) {
      const bytes = waiting!;
      const length = getSliceBytes();
      waiting = bytes.length > length ? bytes.subarray(length) : undefined;
      work += parseSlice(bytes.subarray(0, length));
    }
    if (canParse()) {
      isQueued = true;
      queue.add(runTurn);
    }
    updateReading();
    return work;
  }

  return {
    receive(bytes) {
      if (!isStopped) {
        waiting = waiting === undefined ? bytes : Buffer.concat([waiting, bytes]);
        if (!isQueued && canParse()) {
          isQueued = true;
          queue.runOrAdd(runTurn);
        }
        updateReading();
      }
    },
    goOn() {
      if (!isQueued && canParse()) {
        isQueued = true;
        queue.add(runTurn);
      }
    },
    getWaitingBytes: () => waiting?.length ?? 0,
    stop() {
      isStopped = true;
      waiting = undefined;
      updateReading();
    },
  };
}
