import type { ServerResponse } from 'node:http';

interface SendChunksOptions {
  readonly outgoing: ServerResponse;
  readonly chunks: readonly string[];
  /** Returns the time in milliseconds until the next chunk. */
  readonly getInterval: () => number;
  readonly onEnd: () => void;
}

/** Sends the chunks of a response one after the other, until it ends or its connection is closed. */
export default function sendChunks(options: SendChunksOptions): void {
  const { outgoing, getInterval, onEnd } = options;
  const [chunk, ...rest] = options.chunks;
  if (chunk === undefined || outgoing.destroyed) {
    outgoing.end();
    onEnd();
    return;
  }
  outgoing.write(chunk);
  setTimeout(() => sendChunks({ ...options, chunks: rest }), getInterval());
}
