import { createTokenBucket } from '@rattanreel/platform';
import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type {
  DutyCall,
  DutyCalls,
  DutyHolding,
  DutyReply,
  FencedCaller,
  PauseDetector,
} from './types';

interface FencedCallerOptions {
  readonly clock: Clock;
  readonly calls: DutyCalls;
  readonly entryHost: EntryHostId;
  readonly callsPerSecond: number;
  readonly timeout: Milliseconds;
  readonly pauseDetector: Pick<PauseDetector, 'getLastPauseEnd'>;
  readonly tryGetHolding: () => DutyHolding | undefined;
  readonly onReply: (reply: DutyReply, call: DutyCall, token: number) => void;
}

/**
 * Makes calls only while this host holds the lease, and for as long as the call may take at most.
 * Handles pauses between any two steps: the check is repeated right before the bytes are written,
 * and after a pause no call is made before the lease was renewed.
 */
export default function createFencedCaller(options: FencedCallerOptions): FencedCaller {
  const { clock, calls, timeout, pauseDetector } = options;
  const inFlight = new Set<string>();
  // One burst only: the last holder may have made its calls just before.
  const bucket = createTokenBucket({
    clock,
    tokensPerSecond: options.callsPerSecond,
    burst: 1,
  });

  /** Returns whether a call may be written whose time ends at these times. */
  function mayAct(holding: DutyHolding, endsAt: Milliseconds, wallEndsAt: number): boolean {
    return (
      clock.now() >= holding.actsFrom &&
      holding.renewedAt > pauseDetector.getLastPauseEnd() &&
      endsAt <= holding.expiresAt &&
      wallEndsAt <= holding.wallExpiresAt
    );
  }

  return {
    tryCall(subject, call) {
      const holding = options.tryGetHolding();
      const endsAt = clock.now() + timeout;
      const wallEndsAt = clock.wallTime().getTime() + timeout;
      if (
        holding === undefined ||
        inFlight.has(subject) ||
        !mayAct(holding, endsAt, wallEndsAt) ||
        !bucket.tryTake()
      ) {
        return undefined;
      }
      inFlight.add(subject);
      const { token } = holding;
      const mayWrite = (): boolean => {
        const current = options.tryGetHolding();
        const isInTime = clock.now() < endsAt && clock.wallTime().getTime() < wallEndsAt;
        return isInTime && current?.token === token && mayAct(current, endsAt, wallEndsAt);
      };
      const sent = calls.send(call, { holder: options.entryHost, token, timeout, mayWrite });
      return sent.then(
        (reply) => {
          inFlight.delete(subject);
          options.onReply(reply, call, token);
          return reply;
        },
        (error: unknown) => {
          inFlight.delete(subject);
          throw error;
        },
      );
    },
  };
}
