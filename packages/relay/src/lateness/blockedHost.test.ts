import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import createTestOutside from '../testing/createTestOutside';
import createTestRelay from '../testing/createTestRelay';

const PORT = 18_393;
/** The rule GONE: a request may reach a server so long after its caller has given up. */
const GRACE = 500;
/** Age of a deadline header at the moment of the write, with the time to the server. */
const HEADER_TOLERANCE = 50;

/** Blocks the event loop of this thread. */
function block(span: number): void {
  const until = performance.now() + span;
  while (performance.now() < until) {
    // Holds the thread.
  }
}

function sleep(span: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, span);
  });
}

interface TestCall {
  readonly requestId: string;
  readonly deadline?: number;
  readonly giveUpAfter?: number;
  readonly target?: string;
  readonly connection?: string;
}

describe('a host whose event loop is blocked, over real sockets', () => {
  let outside: Awaited<ReturnType<typeof createTestOutside>>;
  let relay: Awaited<ReturnType<typeof createTestRelay>>;
  let onGranted = (): void => undefined;

  async function start(): Promise<void> {
    onGranted = () => undefined;
    outside = await createTestOutside();
    relay = await createTestRelay({
      clock: createSystemClock(),
      serverPort: outside.port,
      callerPort: PORT,
      onGranted: () => onGranted(),
    });
  }

  function call({ deadline = 3_000, giveUpAfter = deadline, target = '/', ...rest }: TestCall) {
    return outside.call({ port: PORT, method: 'POST', target, deadline, giveUpAfter, ...rest });
  }

  /** Blocks the event loop once, right after the next attempt began. */
  function blockAfterGrant(span: number): void {
    onGranted = () => {
      onGranted = () => undefined;
      queueMicrotask(() => block(span));
    };
  }

  afterEach(async () => {
    await relay.stop();
    await outside.stop();
  });

  [false, true].forEach((isKept) => {
    // Guards against counting the deadline from the time at which a late handler runs.
    it(`sends nothing for callers that have gone, on ${isKept ? 'kept' : 'new'} connections`, async () => {
      await start();
      const names = ['a', 'b', 'c', 'd'];
      if (isKept) {
        await Promise.all(
          names.map((name) => call({ requestId: `first-${name}`, connection: name })),
        );
      }
      const calls = names.map((name) =>
        call({
          requestId: `late-${name}`,
          deadline: 300,
          ...(isKept && { connection: name }),
        }),
      );
      block(1_500);
      await Promise.all(calls);
      await sleep(300);
      const late = (await outside.listReceived()).filter(
        ({ requestId, afterCall = 0 }) => requestId.startsWith('late') && afterCall > 300 + GRACE,
      );
      expect(late).toEqual([]);
    });
  });

  // Guards against writing a request when its connection is established after its deadline, and
  // against counting it as possibly run.
  it('refuses a request whose deadline passes before the write, as not run', async () => {
    await start();
    blockAfterGrant(400);
    const answer = await call({
      requestId: 'r1',
      target: '/order/1',
      deadline: 200,
      giveUpAfter: 3_000,
    });
    expect(answer.text).toMatchRegex(/^HTTP\/1\.1 503 [^]*deadlinePassed[^]*not-run/);
    expect(await outside.listReceived()).toEqual([]);
    expect(relay.completed).toEqual([]);
    expect(relay.counts).toEqual({ granted: 1, released: 1, refunded: 1 });
  });

  // Guards against writing a request whose caller disconnected while the event loop was blocked.
  it('sends nothing for a caller that disconnects before the write, and refunds it', async () => {
    await start();
    blockAfterGrant(500);
    await call({ requestId: 'r1', target: '/order/1', deadline: 3_000, giveUpAfter: 200 });
    await sleep(300);
    expect(await outside.listReceived()).toEqual([]);
    expect(relay.completed).toEqual([]);
    expect(relay.counts).toEqual({ granted: 1, released: 1, refunded: 1 });
  });

  // Guards against telling the server a deadline from before the event loop was blocked.
  it('tells the server what is left at the moment of the write', async () => {
    await start();
    blockAfterGrant(300);
    await call({ requestId: 'r1', deadline: 1_000, giveUpAfter: 3_000 });
    const [received] = await outside.listReceived();
    expect(received!.afterCall! + received!.deadline).toBeLessThanOrEqual(1_000 + HEADER_TOLERANCE);
  });

  // Guards against taking a connection that was established in time for a server out of reach.
  it('does not count a late timer as a server that cannot be reached', async () => {
    await start();
    blockAfterGrant(700);
    const answer = await call({ requestId: 'r1' });
    expect(answer.text).toMatchRegex(/^HTTP\/1\.1 200 /);
    expect(relay.counts.granted).toEqual(1);
  });

  // Guards against discarding a response that arrived before the deadline timer ran.
  it('forwards a response that is ready when the late deadline timer runs', async () => {
    await start();
    outside.setDelay(200);
    const answer = call({ requestId: 'r1', deadline: 400, giveUpAfter: 3_000 });
    while (relay.counts.granted === 0) {
      await sleep(1);
    }
    await sleep(50);
    block(600);
    expect((await answer).text).toMatchRegex(/^HTTP\/1\.1 200 /);
  });
});
