import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import createFencedCaller from './createFencedCaller';
import createPauseDetector from './createPauseDetector';
import type { DutyCall, DutyCallOptions, DutyHolding, DutyReply } from './types';

const TIMEOUT: Milliseconds = 1_000;
const TICK: Milliseconds = 100;
const CALL: DutyCall = { kind: 'usage', window: 1, counts: {} };
const HOLDING: DutyHolding = {
  token: 7,
  era: 0,
  renewedAt: 0,
  actsFrom: 0,
  expiresAt: 3_000,
  wallExpiresAt: 3_000,
};

function createBench() {
  const clock = createVirtualClock();
  const sent: DutyCallOptions[] = [];
  const answers: ((reply: DutyReply) => void)[] = [];
  let holding: DutyHolding | undefined = HOLDING;
  let suspendedFor: Milliseconds = 0;
  const hostClock = { ...clock, wallTime: () => new Date(clock.now() + suspendedFor) };
  const pauseDetector = createPauseDetector({ clock: hostClock, interval: TICK });
  const caller = createFencedCaller({
    clock: hostClock,
    calls: {
      send: (_, options) => {
        sent.push(options);
        return new Promise((resolve) => {
          answers.push(resolve);
        });
      },
      close: () => undefined,
    },
    entryHost: 'edge-a-1',
    callsPerSecond: 2,
    timeout: TIMEOUT,
    pauseDetector,
    tryGetHolding: () => holding,
    onReply: () => undefined,
  });
  return {
    sent,
    answers,
    tryCall: (subject = 'usage'): boolean => caller.tryCall(subject, CALL) !== undefined,
    /** Lets time pass with timers that run as planned. */
    pass(span: Milliseconds): void {
      for (let elapsed = 0; elapsed < span; elapsed += TICK) {
        clock.advance(TICK);
        pauseDetector.tick();
      }
    },
    /** Lets time pass while no timer runs. */
    pause: (span: Milliseconds): void => clock.advance(span),
    suspend(span: Milliseconds): void {
      suspendedFor += span;
    },
    setHolding(next: Partial<DutyHolding> | undefined): void {
      holding = next && { ...HOLDING, ...next };
    },
  };
}

type Bench = ReturnType<typeof createBench>;

describe(createFencedCaller.name, () => {
  const cases: readonly {
    readonly name: string;
    readonly run: (bench: Bench) => boolean;
    readonly expected: boolean;
  }[] = [
    { name: 'calls under a lease', run: (bench) => bench.tryCall(), expected: true },
    {
      name: 'makes no call without the lease',
      run(bench) {
        bench.setHolding(undefined);
        return bench.tryCall();
      },
      expected: false,
    },
    {
      name: 'makes no call that the lease might not outlast',
      run(bench) {
        bench.pass(2_100);
        return bench.tryCall();
      },
      expected: false,
    },
    {
      name: 'makes no call while one of the last holder may still arrive',
      run(bench) {
        bench.setHolding({ actsFrom: 500 });
        return bench.tryCall();
      },
      expected: false,
    },
    {
      name: 'makes no call after a pause before the lease is renewed',
      run(bench) {
        bench.pause(400);
        return bench.tryCall();
      },
      expected: false,
    },
    {
      name: 'calls after a pause once the lease is renewed',
      run(bench) {
        bench.pause(400);
        bench.tryCall();
        bench.pass(2 * TICK);
        bench.setHolding({ renewedAt: 600, expiresAt: 3_600, wallExpiresAt: 3_600 });
        return bench.tryCall();
      },
      expected: true,
    },
    {
      name: 'makes no call after a suspension, in which the monotonic clock stands still',
      run(bench) {
        bench.suspend(1_500);
        bench.setHolding({ wallExpiresAt: 9_000 });
        return bench.tryCall();
      },
      expected: false,
    },
    {
      name: 'makes one call of a subject at a time',
      run(bench) {
        bench.tryCall();
        bench.pass(600);
        return bench.tryCall();
      },
      expected: false,
    },
    {
      name: 'makes no more calls a second than the platform accepts',
      run(bench) {
        bench.tryCall();
        return bench.tryCall('another subject');
      },
      expected: false,
    },
  ];
  cases.forEach(({ name, run, expected }) => {
    it(name, () => {
      expect(run(createBench())).toEqual(expected);
    });
  });

  const lateLosses: readonly { readonly name: string; readonly lose: (bench: Bench) => void }[] = [
    { name: 'the lease was lost', lose: (bench) => bench.setHolding(undefined) },
    { name: 'the lease was acquired anew', lose: (bench) => bench.setHolding({ token: 8 }) },
    { name: 'the process was paused', lose: (bench) => bench.pause(400) },
    { name: 'the machine was suspended', lose: (bench) => bench.suspend(1_500) },
    { name: 'the time of the call has passed', lose: (bench) => bench.pass(TIMEOUT) },
  ];
  lateLosses.forEach(({ name, lose }) => {
    it(`writes nothing when ${name} while it connected`, () => {
      const bench = createBench();
      bench.tryCall();
      expect(bench.sent[0]!.mayWrite()).toEqual(true);
      lose(bench);
      expect(bench.sent[0]!.mayWrite()).toEqual(false);
    });
  });
});
