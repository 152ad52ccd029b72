import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createSystemClock, createVirtualClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import drainCallerEndpoint from '../front/drainCallerEndpoint';
import createTestOutside from '../testing/createTestOutside';
import createTestRelay from '../testing/createTestRelay';
import createStopDeadline from './createStopDeadline';
import createTimeCheck from './createTimeCheck';

const PORT = 18_394;
const GRACE_PERIOD = 4_000;
/** Ends before the deadline of a request that was sent before it. */
const SHORT_GRACE_PERIOD = 3_000;

function sleep(span: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, span);
  });
}

describe('a stopping host, over real sockets', () => {
  let outside: Awaited<ReturnType<typeof createTestOutside>>;
  let relay: Awaited<ReturnType<typeof createTestRelay>>;

  async function start(): Promise<void> {
    outside = await createTestOutside();
    relay = await createTestRelay({
      clock: createSystemClock(),
      serverPort: outside.port,
      callerPort: PORT,
    });
  }

  function stop(): Promise<void> {
    return drainCallerEndpoint({
      clock: relay.loopDelay.clock,
      logger: silentLogger,
      endpoint: relay.endpoint,
      stopDeadline: relay.stopDeadline,
      gracePeriod: GRACE_PERIOD,
    });
  }

  function call(requestId: string, connection: string, deadline = 3_000) {
    return outside.call({
      port: PORT,
      requestId,
      method: 'POST',
      target: '/order/1',
      deadline,
      giveUpAfter: 6_000,
      connection,
    });
  }

  afterEach(async () => {
    await relay.stop();
    await outside.stop();
  });

  // Guards against taking a request on a keep-alive connection that is cut when the host ends.
  it('accepts only what it can finish, and refuses the rest before its first byte', async () => {
    await start();
    await Promise.all([call('first-a', 'a'), call('first-b', 'b')]);
    const stopped = stop();
    const early = await call('early', 'a');
    expect(early.text).toMatchRegex(/^HTTP\/1\.1 200 [^]*Connection: close/i);
    await sleep(2_400);
    const late = await call('late', 'b');
    expect(late.text).toMatchRegex(/^HTTP\/1\.1 503 /);
    expect(late.text).toMatchRegex(/\r\nretry-after: 0\.\d+\r\n/);
    expect(late.text).toMatchRegex(/\r\nConnection: close\r\n[^]*"stopping"[^]*"not-run"/i);
    const received = (await outside.listReceived()).map(({ requestId }) => requestId);
    expect(received.includes('late')).toEqual(false);
    await stopped;
  });

  const lateSignals = [
    { delay: 0, todo: false },
    { delay: 1_000, todo: 'listed in KNOWN-RED.txt, issue 31' },
  ];
  lateSignals.forEach(({ delay, todo }) => {
    // Guards against a grace period that is counted from a signal handled late, and so ends too late.
    it(`ends in time if it handles its signal ${delay} ms late`, { todo }, async () => {
      await start();
      outside.setDelay(20_000);
      const running = call('running', 'a', 3_900);
      while (relay.counts.granted === 0) {
        await sleep(1);
      }
      // Lets the timers of the host run, by which it measures its delay.
      await sleep(400);
      const signalledAt = performance.now();
      await new Promise<void>((resolve) => {
        setTimeout(() => {
          Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, delay);
          setImmediate(resolve);
        });
      });
      await relay.drain(SHORT_GRACE_PERIOD);
      expect(performance.now() - signalledAt).toBeLessThanOrEqual(SHORT_GRACE_PERIOD);
      expect((await running).text).toMatchRegex(/^HTTP\/1\.1 502 [^]*may-have-run/);
    });
  });

  // Guards against cutting a connection without a response when the grace period is over.
  it('answers what is still running when its grace period ends', async () => {
    await start();
    const startedAt = performance.now();
    outside.setDelay(20_000);
    const running = call('running', 'a', 3_900);
    while (relay.counts.granted === 0) {
      await sleep(1);
    }
    await stop();
    expect((await running).text).toMatchRegex(/^HTTP\/1\.1 502 [^]*may-have-run/);
    expect(performance.now() - startedAt).toBeLessThanOrEqual(GRACE_PERIOD);
  });
});

describe('createTimeCheck of a stopping host', () => {
  const STOPS_AT = 1_000;
  const ENDS_AT = 8_000;
  const LATER = 99_000;
  const cases = [
    { name: 'anything before the stop', deadlineAt: LATER, isStopping: false, isRefused: false },
    { name: 'what ends with the host', deadlineAt: ENDS_AT, isRefused: false },
    { name: 'not what may end after it', deadlineAt: ENDS_AT + 1, isRefused: true },
    {
      name: 'not what a late loop may end after it',
      deadlineAt: ENDS_AT,
      delay: 1,
      isRefused: true,
    },
    {
      name: 'not what may end after it, since it may have arrived late',
      deadlineAt: ENDS_AT,
      latestDeadlineAt: ENDS_AT + 1,
      isRefused: true,
    },
    { name: 'what may have run', deadlineAt: LATER, mayHaveRun: true, isRefused: false },
    {
      name: 'nothing after its end',
      deadlineAt: LATER,
      mayHaveRun: true,
      now: ENDS_AT + 1,
      isRefused: true,
    },
    {
      name: 'what was accepted earlier and takes half of the time',
      deadlineAt: LATER,
      isAcceptedEarlier: true,
      expected: 3_500,
      isRefused: false,
    },
    {
      name: 'not what was accepted earlier and may take longer',
      deadlineAt: LATER,
      isAcceptedEarlier: true,
      expected: 3_501,
      isRefused: true,
    },
  ];
  cases.forEach((timeCase) => {
    const { name, deadlineAt, isStopping = true, delay = 0, now = STOPS_AT, isRefused } = timeCase;
    // Guards against a promise for a new request that rests on the mean of its kind.
    it(`allows ${name}`, () => {
      const clock = createVirtualClock(now);
      const stopDeadline = createStopDeadline();
      if (isStopping) {
        stopDeadline.begin({ startedAt: STOPS_AT, endsAt: ENDS_AT });
      }
      const check = createTimeCheck({
        clock,
        random: createRandom(1),
        loopDelay: { get: () => delay },
        stopDeadline,
        getExpectedDuration: () => timeCase.expected ?? 0,
        isScheduledByOther: () => false,
      });
      const refusal = check.tryRefuseDispatch({
        pool: 'pool',
        outputTokens: 1,
        deadlineAt,
        latestDeadlineAt: timeCase.latestDeadlineAt ?? deadlineAt,
        mayHaveRun: timeCase.mayHaveRun ?? false,
        isAcceptedEarlier: timeCase.isAcceptedEarlier ?? false,
      });
      expect<string | undefined>(refusal?.reason).toEqual(isRefused ? 'stopping' : undefined);
    });
  });
});
