import type { Milliseconds } from '@rattanreel/core';
import createTestCallers from './createTestCallers';
import createTestEngines from './createTestEngines';
import createTestFleet from './createTestFleet';

/** Time after which a fleet that starts together is settled. */
const START_TIME: Milliseconds = 12_000;
const CALM_TIME: Milliseconds = 3_000;
const BURST_TIME: Milliseconds = 1_000;
const DEADLINE: Milliseconds = 4_000;
const OBJECTIVE: Milliseconds = 400;
const WINDOW: Milliseconds = 500;
/** Requests per second of one test engine: four slots, 190 ms each on average. */
const ENGINE_RATE = 4 / 0.19;
/** Parts of the capacity that callers ask for: always, and in addition during the burst. */
const CALM_SHARE = 0.6;
const BURST_SHARE = 1.6;
/** Value of a late response, of that of one in time. */
const LATE_VALUE = 0.4;

interface BurstOptions {
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly seed: number;
  /** Whether requests have customers, which the configuration names. */
  readonly hasCustomers: boolean;
}

/** Plays a burst of one second above the capacity; measures what callers are served. */
export default async function playBurst(options: BurstOptions) {
  const { hasCustomers } = options;
  const names = ['a', 'b', 'c', 'd'].map((name) => `customer-${name}`);
  const customers = names.map((name) => ({
    name,
    keys: [name],
    tier: undefined,
    quota: undefined,
  }));
  const configuration = { customers: hasCustomers ? customers : undefined };
  const fleet = await createTestFleet({ ...options, configuration });
  const { clock, random, servers } = fleet;
  createTestEngines(fleet);
  const callers = createTestCallers({ fleet, customers: names, isDeadlineKept: true });
  await fleet.advance(START_TIME, 20);
  const capacity = servers.length * ENGINE_RATE;
  let isBurst = false;

  const send = (): void => {
    const customer = names[random.integer(0, names.length - 1)]!;
    callers.send(hasCustomers ? { target: '/chat/1', customer } : { target: '/' });
  };
  const sendNext = (): void => {
    const rate = capacity * (CALM_SHARE + (isBurst ? BURST_SHARE : 0));
    clock.after((-Math.log(1 - random.next()) * 1_000) / rate, () => {
      if (isRunning) {
        send();
        sendNext();
      }
    });
  };
  let isRunning = true;
  sendNext();
  await fleet.advance(CALM_TIME);
  isBurst = true;
  await fleet.advance(BURST_TIME);
  isBurst = false;
  const endedAt = clock.now();
  await fleet.advance(DEADLINE);
  isRunning = false;
  await fleet.advance(DEADLINE);

  const { requests } = callers;
  const first = requests.filter(({ isFirst }) => isFirst);
  const isServed = ({ status, isBroken }: (typeof requests)[number]): boolean =>
    status === 200 && isBroken !== true;
  const isInTime = (request: (typeof requests)[number]): boolean =>
    isServed(request) && request.answeredAt! - request.firstSentAt <= OBJECTIVE;
  const served = requests.filter(isServed).length / first.length;
  const inTime = requests.filter(isInTime).length / first.length;
  const later = requests.filter(({ firstSentAt }) => firstSentAt > endedAt + WINDOW);
  const windows = new Map<number, number>();
  requests
    .filter(({ isFirst, sentAt }) => !isFirst && sentAt > endedAt)
    .map(({ sentAt }) => Math.floor((sentAt - endedAt) / WINDOW))
    .forEach((window) => windows.set(window, (windows.get(window) ?? 0) + 1));
  return {
    served,
    inTime,
    worth: inTime + (served - inTime) * LATE_VALUE,
    /** Part in time of the callers that came after the burst. */
    laterInTime: later.filter(isInTime).length / later.filter(({ isFirst }) => isFirst).length,
    /** Most second attempts in a window after the burst, relative to what the burst asked for. */
    secondWave:
      Math.max(...windows.values()) / ((CALM_SHARE + BURST_SHARE) * capacity * (WINDOW / 1_000)),
  };
}
