import { isDeepStrictEqual } from 'node:util';
import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { DutyCall, DutyCalls, DutyReply } from '../duties/types';

const CALL_DELAY: Milliseconds = 2;

interface ArrivedCall {
  readonly call: DutyCall;
  readonly holder: EntryHostId;
  readonly token: number;
  readonly at: Milliseconds;
}

interface TestDutyPlatformOptions {
  readonly clock: Clock;
  /** Time within which holders of a subject must not alternate. */
  readonly leaseTime: Milliseconds;
}

function getSubject(call: DutyCall): string {
  return call.kind === 'usage' ? 'usage' : `scale ${call.pool} ${call.failureDomain}`;
}

/** Receives the calls of duties in virtual time, without a fence, and checks the rules on them. */
export default function createTestDutyPlatform({ clock, leaseTime }: TestDutyPlatformOptions) {
  const arrived: ArrivedCall[] = [];
  const violations: string[] = [];
  let isDown = false;
  let lostResponses = 0;
  let extraDelay: Milliseconds = 0;

  function check(next: ArrivedCall): void {
    const earlier = arrived.filter(({ call }) => getSubject(call) === getSubject(next.call));
    const what = `${getSubject(next.call)} by ${next.holder} at ${next.at}`;
    if (earlier.some(({ token }) => token > next.token)) {
      violations.push(`lower token: ${what}`);
    }
    if (earlier.some(({ token, holder }) => token === next.token && holder !== next.holder)) {
      violations.push(`token of two holders: ${what}`);
    }
    const lastOther = earlier.findLast(({ holder }) => holder !== next.holder);
    const isAlternating = earlier.some(
      ({ holder, at }) =>
        holder === next.holder &&
        lastOther !== undefined &&
        at < lastOther.at &&
        next.at - at <= leaseTime,
    );
    if (isAlternating) {
      violations.push(`alternating holders: ${what}`);
    }
    const { call } = next;
    const differs = arrived.some(
      (other) =>
        call.kind === 'usage' &&
        other.call.kind === 'usage' &&
        other.call.window === call.window &&
        !isDeepStrictEqual(other.call.counts, call.counts),
    );
    if (differs) {
      violations.push(`second report with other counts: ${what}`);
    }
  }

  function createCalls(hostClock: Clock): DutyCalls {
    return {
      send: (call, { holder, token, timeout, mayWrite }) =>
        new Promise<DutyReply>((resolve) => {
          hostClock.after(timeout, () => resolve({ kind: 'lost' }));
          if (!mayWrite()) {
            resolve({ kind: 'notSent' });
            return;
          }
          if (isDown) {
            return;
          }
          clock.after(CALL_DELAY + extraDelay, () => {
            const next = { call, holder, token, at: clock.now() };
            check(next);
            arrived.push(next);
            if (lostResponses > 0) {
              lostResponses -= 1;
            } else {
              hostClock.after(CALL_DELAY, () => resolve({ kind: 'accepted' }));
            }
          });
        }),
      close: () => undefined,
    };
  }

  return {
    createCalls,
    arrived,
    violations,
    setDown(next: boolean): void {
      isDown = next;
    },
    setExtraDelay(next: Milliseconds): void {
      extraDelay = next;
    },
    loseNextResponses(count: number): void {
      lostResponses = count;
    },
  };
}
