import { buildConnector } from 'undici';
import type { Milliseconds } from '@rattanreel/core';

interface ResetDetector {
  /** Opens connections for undici. */
  readonly connect: buildConnector.connector;
  /** Returns whether the failure of a connection is being handled at the moment. */
  isFailing(): boolean;
}

/**
 * Distinguishes a connection that was reset from one that was closed. undici treats a response
 * without a length as complete in both cases, although a reset one may be truncated.
 */
export default function createResetDetector(timeout: Milliseconds): ResetDetector {
  const open = buildConnector({ timeout });
  let failing = 0;

  return {
    connect(options, callback) {
      open(options, (...outcome) => {
        const [error, socket] = outcome;
        if (error === null) {
          // Registered before undici's own listener, which ends the response in the same event.
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
