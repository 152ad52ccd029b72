import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RequestTurn, RequestTurns } from './types';

interface Entry {
  begin: (() => void) | undefined;
  readonly onEnd: () => void;
}

/**
 * Handles the pipelined requests of one connection one after the other: a request begins only if the
 * responses before it have left its connection open.
 */
export default function createRequestTurns(socket: Socket): RequestTurns {
  const entries: Entry[] = [];

  function tryBeginFirst(): void {
    // No longer writable once a response has closed it.
    if (socket.writable) {
      entries[0]?.begin?.();
    }
  }

  // A response that waits for an earlier one does not see the end of its connection.
  socket.once('close', () => entries.splice(0).forEach(({ onEnd }) => onEnd()));

  return {
    add(outgoing: ServerResponse, onEnd: () => void): RequestTurn {
      const entry: Entry = { begin: undefined, onEnd };
      entries.push(entry);
      outgoing.once('close', () => {
        if (entries[0] === entry) {
          entries.shift();
          onEnd();
          tryBeginFirst();
        }
      });
      return {
        begin(handle) {
          entry.begin = handle;
          if (entries[0] === entry) {
            tryBeginFirst();
          }
        },
        isLast: () => entries.at(-1) === entry,
      };
    },
  };
}
