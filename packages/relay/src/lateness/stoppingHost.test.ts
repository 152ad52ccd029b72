import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import drainCallerEndpoint from '../front/drainCallerEndpoint';
import createTestOutside from '../testing/createTestOutside';
import createTestRelay from '../testing/createTestRelay';
import createStopDeadline from './createStopDeadline';

const PORT = 18_394;
const GRACE_PERIOD = 4_000;
const EXPECTED_DURATION = 600;

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
      expectedDuration: EXPECTED_DURATION,
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

  function call(requestId: string, connection: string) {
    return outside.call({
      port: PORT,
      requestId,
      method: 'POST',
      target: '/order/1',
      deadline: 3_900,
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

  // Guards against cutting a connection without a response when the grace period is over.
  it('answers what is still running when its grace period ends', async () => {
    await start();
    const startedAt = performance.now();
    outside.setDelay(20_000);
    const running = call('running', 'a');
    while (relay.counts.granted === 0) {
      await sleep(1);
    }
    await stop();
    expect((await running).text).toMatchRegex(/^HTTP\/1\.1 502 [^]*may-have-run/);
    expect(performance.now() - startedAt).toBeLessThanOrEqual(GRACE_PERIOD);
  });
});

describe('createStopDeadline', () => {
  const cases = [
    { name: 'anything before the stop', endsAt: undefined, duration: 1_000_000, canFinish: true },
    { name: 'what takes half of the time', endsAt: 8_000, duration: 3_500, canFinish: true },
    { name: 'not what may take longer', endsAt: 8_000, duration: 3_501, canFinish: false },
  ];
  cases.forEach(({ name, endsAt, duration, canFinish }) => {
    // Guards against accepting requests by their mean duration, which half of them exceed.
    it(`allows ${name}`, () => {
      const stopDeadline = createStopDeadline();
      if (endsAt !== undefined) {
        stopDeadline.begin({ startedAt: 0, endsAt });
      }
      expect(stopDeadline.canFinish(duration, 1_000)).toEqual(canFinish);
    });
  });
});
