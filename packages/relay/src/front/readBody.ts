import type { IncomingMessage } from 'node:http';
import createGrowingBuffer from './createGrowingBuffer';
import type { BodyReservation, BodyResult } from './types';

interface ReadBodyOptions {
  readonly incoming: IncomingMessage;
  /** Largest body in bytes. */
  readonly limit: number;
  readonly reservation: Pick<BodyReservation, 'tryGrow' | 'release'>;
  /** Called once. */
  readonly onRead: (read: BodyResult) => void;
}

/**
 * Reads a request's body within the memory that can be reserved for it. Returns a function that reads
 * no further since the host stops.
 */
export default function readBody(options: ReadBodyOptions): () => void {
  const { incoming, limit, reservation } = options;
  const declared = Number(incoming.headers['content-length'] ?? 0);
  const body = createGrowingBuffer();
  let size = 0;
  let isFinished = false;
  // What was announced is reserved at once, so that bodies which have begun can be completed.
  let isKept = declared > limit || reservation.tryGrow(declared);

  function finish(read: BodyResult): void {
    if (!isFinished) {
      isFinished = true;
      options.onRead(read);
    }
  }

  function discard(): void {
    isKept = false;
    body.take();
    reservation.release();
  }

  incoming.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > limit) {
      discard();
      finish({ kind: 'tooLarge' });
    } else if (isKept && !reservation.tryGrow(size)) {
      discard();
    } else if (isKept) {
      body.append(chunk, declared);
    }
  });
  incoming.on('end', () =>
    finish(isKept ? { kind: 'whole', body: body.take() } : { kind: 'noMemory' }),
  );
  incoming.on('close', () => finish({ kind: 'cut' }));
  incoming.on('error', () => finish({ kind: 'cut' }));
  return () => {
    discard();
    finish({ kind: 'stopped' });
  };
}
