import type { IncomingMessage } from 'node:http';
import type { Milliseconds } from '@rattanreel/core';
import createGrowingBuffer from './createGrowingBuffer';
import type { BodyResult, IntakeConnection, MemoryReservation } from './types';

interface ReadBodyOptions {
  readonly incoming: IncomingMessage;
  /** Largest body in bytes. */
  readonly limit: number;
  /** Time at which a body that is not complete is read no further; never if absent. */
  readonly expiresAt?: Milliseconds;
  readonly reservation: MemoryReservation;
  /** The connection that ends a body which takes too long. */
  readonly connection?: Pick<IntakeConnection, 'setReading'> | undefined;
  /** Called once. */
  readonly onRead: (read: BodyResult) => void;
}

/** A close follows. Refers to nothing, since the connection keeps its last request. */
function ignoreError(): void {}

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
  let isKept = false;

  function discard(): void {
    isKept = false;
    body.take();
    reservation.release();
  }

  function finish(read: BodyResult): void {
    if (!isFinished) {
      isFinished = true;
      options.onRead(read);
    }
  }

  function end(read: BodyResult): void {
    if (!isFinished) {
      discard();
      finish(read);
    }
  }

  options.connection?.setReading(incoming, {
    expiresAt: options.expiresAt ?? Infinity,
    getReceived: () => size,
    stop: (cause) =>
      end(cause === 'late' ? { kind: 'late' } : { kind: 'noMemory', isComplete: false }),
  });

  /** The connection keeps its last request, which must not keep the body in turn. */
  function detach(): void {
    incoming.off('data', onData).off('end', onEnd).off('close', onCut);
  }

  function onData(chunk: Buffer): void {
    size += chunk.length;
    if (size > limit) {
      end({ kind: 'tooLarge' });
    } else if (isKept && reservation.tryGrow(body.getSizeWith(chunk.length, declared))) {
      body.append(chunk, declared);
    } else if (isKept) {
      discard();
    }
  }

  function onEnd(): void {
    detach();
    finish(isKept ? { kind: 'whole', body: body.take() } : { kind: 'noMemory', isComplete: true });
  }

  function onCut(): void {
    detach();
    finish({ kind: 'cut' });
  }

  incoming.on('data', onData).on('end', onEnd).on('close', onCut);
  incoming.on('error', ignoreError);
  if (declared > limit) {
    end({ kind: 'tooLarge' });
  } else {
    // What was announced is reserved at once, so that bodies which have begun can be completed.
    isKept = reservation.tryGrow(declared);
  }
  return () => end({ kind: 'stopped' });
}
