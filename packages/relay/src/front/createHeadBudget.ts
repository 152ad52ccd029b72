import type { Socket } from 'node:net';
import type { HeadBudget } from './types';

interface HeadBudgetOptions {
  /** Bytes that incomplete heads may hold together. */
  readonly bytes: number;
  /** Bytes of the longest head that is read. */
  readonly headBytes: number;
}

/** Creates the budget of the connections of one endpoint. */
export default function createHeadBudget(options: HeadBudgetOptions): HeadBudget {
  const { bytes, headBytes } = options;
  /** Bytes read at the end of the last request; undefined while a request is in flight. */
  const readBefore = new Map<Socket, number | undefined>();

  return {
    add(socket) {
      readBefore.set(socket, 0);
      socket.once('close', () => readBefore.delete(socket));
    },
    recordHead: (socket) => {
      readBefore.set(socket, undefined);
    },
    recordEnd(socket) {
      if (readBefore.has(socket)) {
        readBefore.set(socket, socket.bytesRead);
      }
    },
    canExceed: () => readBefore.size * headBytes > bytes,
    enforce() {
      const heads = [...readBefore].flatMap(([socket, before]) =>
        before === undefined ? [] : [{ socket, size: socket.bytesRead - before }],
      );
      let total = heads.reduce((sum, { size }) => sum + size, 0);
      if (total <= bytes) {
        return;
      }
      heads.sort((one, other) => other.size - one.size);
      for (const { socket, size } of heads) {
        if (total <= bytes) {
          return;
        }
        total -= size;
        socket.destroy();
      }
    },
  };
}
