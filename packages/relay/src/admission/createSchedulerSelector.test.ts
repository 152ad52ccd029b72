import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import type { PeerAddress } from '../types';
import createSchedulerSelector from './createSchedulerSelector';

function createCandidate(entryHost: string): PeerAddress {
  return { entryHost, address: `${entryHost}:1`, failureDomain: 'near', capacity: 1 };
}

// Fails when a candidate that answers too late keeps the slots that were reported to it, beside the
// scheduler that is used in its place.
describe('createSchedulerSelector', () => {
  it('leaves a candidate that was sent a report and did not answer', () => {
    const clock = createVirtualClock();
    const events: string[] = [];
    const selector = createSchedulerSelector({
      clock,
      logger: silentLogger,
      loopDelay: { get: () => 0, afterSilence: (delay, callback) => clock.after(delay, callback) },
      ownName: 'self',
      sendReport: ({ entryHost }) => events.push(`report ${entryHost}`),
      sendProbe: () => undefined,
      sendLeave: ({ entryHost }) => events.push(`leave ${entryHost}`),
      hasWaiting: () => false,
      onChange: () => undefined,
    });
    selector.setCandidates(['silent', 'next', 'self'].map(createCandidate));
    clock.advance(130);
    expect(events).toEqual(['report silent', 'leave silent', 'report next']);
    selector.stop();
  });
});
