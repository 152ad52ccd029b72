import type { Socket } from 'node:net';
import type { Milliseconds } from '@rattanreel/core';

interface UnsentWatchOptions {
  readonly socket: Pick<Socket, 'bytesWritten' | 'writableLength'>;
  readonly openedAt: Milliseconds;
}

interface UnsentWatch {
  /** Returns for how long no byte of what is written has been sent; 0 if nothing is unsent. */
  measure(now: Milliseconds): Milliseconds;
}

/** Watches whether a caller reads its responses. */
export default function createUnsentWatch({ socket, openedAt }: UnsentWatchOptions): UnsentWatch {
  let sentBytes = 0;
  let sentAt = openedAt;

  return {
    measure(now) {
      const sent = socket.bytesWritten - socket.writableLength;
      if (socket.writableLength === 0 || sent !== sentBytes) {
        sentBytes = sent;
        sentAt = now;
      }
      return now - sentAt;
    },
  };
}
