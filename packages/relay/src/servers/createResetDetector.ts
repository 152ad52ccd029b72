import { buildConnector } from 'undici';
import type { Milliseconds } from '@rattanreel/core';

interface ResetDetector {
  /** Opens connections for undici. */
  readonly connect: buildConnector.connector;
  /** Whether a connection's failure is being handled right now. */
  isFailing(): boolean;
}

/**
 * Tells a connection that was reset from one that was closed. undici takes an answer without a length
 * for complete in both cases, though a reset one may have lost its end.
 */
export default function createResetDetector(timeout: Milliseconds): ResetDetector {
  const open = buildConnector({ timeout });
  let failing = 0;

  return {
    connect(options, callback) {
      open(options, (...outcome) => {
        const [error, socket] = outcome;
        if (error === null) {
          // Registered before undici's own listener, which ends the answer in the same event.
          socket.on('error', () => {
            failing += 1;
            process.nextTick(() => {
              failing -= 1;
            });
          });
        }
        callback(...outcome);
      });
    },
    isFailing: () => failing > 0,
  };
}
