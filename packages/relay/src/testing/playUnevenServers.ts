import type { Milliseconds } from '@rattanreel/core';
import createTestCallers from './createTestCallers';
import createTestEngines from './createTestEngines';
import createTestFleet from './createTestFleet';
import disturbances from './disturbances';

const SERVERS = 10;
const SLOW_SERVERS = 4;
const SLOWDOWN = 4;
const SLOTS = 4;
const SERVICE_WORK: Milliseconds = 80;
const OBJECTIVE: Milliseconds = 306;
const DEADLINE: Milliseconds = 3_065;
/** Share of what the servers can serve at the speeds that they have. */
const LOAD = 0.7;
const START_TIME: Milliseconds = 3_000;
const PLAY_TIME: Milliseconds = 20_000;

interface UnevenServersOptions {
  readonly hosts: number;
  readonly seed: number;
  /** Figures of the servers' load header; 0 if they send none. */
  readonly loadFigures: 0 | 3 | 4;
  /** Whether the schedulers are killed after half of the time. */
  readonly mustLoseSchedulers?: boolean;
}

/**
 * Plays callers before ten servers, four of which at a time are four times slower for 1 to 3 s.
 * Returns the share of responses within the objective, of requests refused, and of requests that
 * were sent to a slow server while a fast one had a free slot.
 */
export default async function playUnevenServers(options: UnevenServersOptions) {
  const { hosts, seed, loadFigures, mustLoseSchedulers = false } = options;
  const fleet = await createTestFleet({
    hosts,
    domains: 3,
    serversPerDomain: 0,
    servers: Array.from({ length: SERVERS }, () => ({ slots: SLOTS })),
    seed,
  });
  const { clock, random } = fleet;
  let sent = 0;
  let sentSlow = 0;
  const { engines } = createTestEngines(fleet, {
    serviceWork: { pool: SERVICE_WORK },
    onArrival(id) {
      const engine = engines.find(({ getListed }) => getListed().id === id)!;
      const hasFastOne = engines.some(
        ({ speed, countRunning }) => speed.getSlowdown() === 1 && countRunning() < SLOTS,
      );
      sent += 1;
      sentSlow += engine.speed.getSlowdown() > 1 && hasFastOne ? 1 : 0;
    },
  });

  /** Makes one server slow for 1 to 3 s, and then another one. */
  function slowDownOne(): void {
    const fast = engines.filter(({ speed }) => speed.getSlowdown() === 1);
    const engine = fast[random.integer(0, fast.length - 1)]!;
    engine.speed.set({ slowdown: SLOWDOWN, loadFigures });
    clock.after(1_000 + random.next() * 2_000, () => {
      slowDownOne();
      engine.speed.set({ slowdown: 1, loadFigures });
    });
  }

  engines.forEach((engine) => engine.speed.set({ slowdown: 1, loadFigures }));
  await fleet.advance(START_TIME);
  Array.from({ length: SLOW_SERVERS }).forEach(slowDownOne);
  const callers = createTestCallers({
    fleet,
    deadline: DEADLINE,
    routes: [{ kind: 'idempotent', isResumable: false, objective: OBJECTIVE, timeout: DEADLINE }],
  });
  const capacity = SERVERS - SLOW_SERVERS + SLOW_SERVERS / SLOWDOWN;
  callers.sendOften((LOAD * capacity * SLOTS * 1_000) / SERVICE_WORK, () => ({}));
  await fleet.advance(PLAY_TIME / 2);
  const lost = mustLoseSchedulers ? disturbances.listSchedulers(fleet) : [];
  lost.forEach((host) => {
    host.isDown = true;
  });
  await fleet.advance(PLAY_TIME / 2);
  callers.stop();
  await fleet.advance(DEADLINE);
  // Requests at a lost host have no response, whatever the speed of the servers.
  const first = callers.requests.filter(
    ({ isFirst, host, answeredAt }) => isFirst && !(host.isDown && answeredAt === undefined),
  );
  const inTime = first.filter(
    ({ status, sentAt, answeredAt = Infinity }) =>
      status === 200 && answeredAt - sentAt <= OBJECTIVE,
  );
  const refused = first.filter(({ status }) => status === 503);
  return {
    inTime: inTime.length / first.length,
    refused: refused.length / first.length,
    sentSlow: sentSlow / sent,
  };
}
