import type { IncomingMessage } from 'node:http';

const EMPTY = Buffer.alloc(0);

type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  /** The caller disconnected before the end of the body. */
  | { readonly kind: 'cut' };

/** Reads a request's body of at most `limit` bytes and calls `onRead` once. */
export default function readBody(
  incoming: IncomingMessage,
  limit: number,
  onRead: (read: BodyResult) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let isFinished = false;

  function finish(read: BodyResult): void {
    if (!isFinished) {
      isFinished = true;
      onRead(read);
    }
  }

  incoming.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > limit) {
      finish({ kind: 'tooLarge' });
    } else {
      chunks.push(chunk);
    }
  });
  incoming.on('end', () => {
    finish({ kind: 'whole', body: chunks.length === 0 ? EMPTY : Buffer.concat(chunks) });
  });
  incoming.on('close', () => finish({ kind: 'cut' }));
  incoming.on('error', () => finish({ kind: 'cut' }));
}
