/** The process of a crowd: opens the connections that its parent sends, and reports when they settle. */
import process from 'node:process';
import openByteCrowd from './openByteCrowd';
import openMessageCrowd from './openMessageCrowd';
import type { Crowd } from './types';

const CHECK_INTERVAL_MS = 100;
const QUIET_MS = 1_500;
const SETTLE_TIMEOUT_MS = 20_000;
/** Ends the process even if its parent does not. */
const LIFETIME_MS = 120_000;

function open(crowd: Crowd, onProgress: () => void): void {
  switch (crowd.kind) {
    case 'bytes':
      openByteCrowd(crowd, onProgress);
      return;
    case 'messages':
      openMessageCrowd(crowd, onProgress);
      return;
    default:
      crowd satisfies never;
  }
}

process.once('message', (crowd: Crowd) => {
  const startedAt = performance.now();
  let progressAt = startedAt;
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - progressAt > QUIET_MS || now - startedAt > SETTLE_TIMEOUT_MS) {
      clearInterval(timer);
      process.send?.('settled');
    }
  }, CHECK_INTERVAL_MS);
  open(crowd, () => {
    progressAt = performance.now();
  });
});
process.once('disconnect', () => process.exit(0));
setTimeout(() => process.exit(0), LIFETIME_MS);
