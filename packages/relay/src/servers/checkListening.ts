import { connect } from 'node:net';
import { parseAddress } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';
import type { Listening } from './types';

/** A process that ended refuses within the round trip. */
const CHECK_TIMEOUT: Milliseconds = 400;

/** Checks whether a server accepts connections; calls back once. */
export default function checkListening(
  { address }: ListedServer,
  onChecked: (listening: Listening) => void,
): void {
  const parsed = parseAddress(address);
  if (parsed.kind !== 'address') {
    // Later, as for any other server.
    setImmediate(() => onChecked('unreachable'));
    return;
  }
  const { host, port } = parsed;
  const socket = connect({ host, port, timeout: CHECK_TIMEOUT });
  let listening: Listening = 'unreachable';
  socket.once('connect', () => {
    listening = 'accepting';
    socket.destroy();
  });
  socket.once('timeout', () => socket.destroy());
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET') {
      listening = 'refused';
    }
  });
  socket.once('close', () => onChecked(listening));
}
