import { connect } from 'node:net';
import type { Socket } from 'node:net';
import joinBytes from './joinBytes';
import type { ByteCrowd } from './types';

const RETURN_DELAY_MS = 5;

/** Writes blocks as fast as the connection takes them. */
function writeBlocks(socket: Socket, blocks: Iterator<Buffer>, onProgress: () => void): void {
  function write(): void {
    while (!socket.destroyed) {
      const next = blocks.next();
      if (next.done === true) {
        return;
      }
      onProgress();
      if (!socket.write(next.value)) {
        socket.once('drain', write);
        return;
      }
    }
  }
  write();
}

/** Opens the connections of a crowd; `onProgress` is called for what they send and receive. */
export default function openByteCrowd(crowd: ByteCrowd, onProgress: () => void): void {
  const { reader, visits = 1 } = crowd;

  function visit(left: number): void {
    const socket = connect(crowd.port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.once('connect', () => writeBlocks(socket, joinBytes(crowd.parts), onProgress));
    switch (reader) {
      case 'reads':
        socket.on('data', onProgress);
        break;
      case 'readsNothing':
        socket.pause();
        break;
      case 'leavesAndReturns':
        socket.once('data', () => socket.destroy());
        break;
      default:
        reader satisfies never;
    }
    socket.once('close', () => {
      if (left > 1) {
        onProgress();
        setTimeout(visit, RETURN_DELAY_MS, left - 1);
      }
    });
  }

  for (let index = 0; index < crowd.connections; index += 1) {
    visit(visits);
  }
}
