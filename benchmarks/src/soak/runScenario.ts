import { Debug, createRandom, createVirtualClock } from '@rattanreel/core';
import scheduleFaults from './scheduleFaults';
import createSoakRun from './createSoakRun';
import type { SoakCounts, SoakRun, SoakScenario, SoakWorld } from './types';

const ARRIVALS_END_MILLISECONDS = 20_000;
const RUN_MILLISECONDS = 90_000;
const HOST_TICK_INTERVAL_MILLISECONDS = 100;
const LOAD_REPORT_INTERVAL_MILLISECONDS = 200;
const IN_FLIGHT_REPORT_INTERVAL_MILLISECONDS = 1_000;
const LATE_MESSAGE_SHARE = 0.02;
const MAXIMUM_LATE_DELAY_MILLISECONDS = 400;
const ZERO_COUNTS: SoakCounts = {
  arrivals: 0,
  completed: 0,
  refused: 0,
  spilled: 0,
  failed: 0,
  withdrawn: 0,
  lostWithHost: 0,
};

function createWorld(scenario: SoakScenario): SoakWorld & { advance(span: number): void } {
  const clock = createVirtualClock();
  const random = createRandom(scenario.seed);
  const world = {
    clock,
    random,
    counts: { ...ZERO_COUNTS },
    messageFaultShare: 0,
    send(deliver: () => void): void {
      if (random.next() < world.messageFaultShare) {
        return;
      }
      const isLate = random.next() < LATE_MESSAGE_SHARE;
      clock.after(random.integer(1, isLate ? MAXIMUM_LATE_DELAY_MILLISECONDS : 4), deliver);
      if (random.next() < world.messageFaultShare) {
        clock.after(random.integer(1, MAXIMUM_LATE_DELAY_MILLISECONDS), deliver);
      }
    },
    advance: clock.advance,
  };
  return world;
}

function repeatEvery(run: SoakRun, span: number, until: number, action: () => void): void {
  run.world.clock.after(span, () => {
    action();
    if (run.world.clock.now() < until) {
      repeatEvery(run, span, until, action);
    }
  });
}

function scheduleArrivals(run: SoakRun, scenario: SoakScenario): void {
  const { clock, random } = run.world;
  const mean = 1_000 / (scenario.arrivalsPerSecond * run.flags.arrivalFactor);
  clock.after(-Math.log(1 - random.next()) * mean, () => {
    run.hosts[random.integer(0, run.hosts.length - 1)]!.receiveRequest();
    if (clock.now() < ARRIVALS_END_MILLISECONDS) {
      scheduleArrivals(run, scenario);
    }
  });
}

function assertNoLeaks(run: SoakRun): void {
  const { queuedTokens, inFlight } = run.scheduler.getSummary();
  const waiting = run.hosts.reduce((sum, host) => sum + host.waiting, 0);
  Debug.invariant(queuedTokens === 0, 'soak-queue-left', () => `${queuedTokens} tokens queued`);
  const running = run.hosts.reduce((sum, host) => sum + host.getInFlight().length, 0);
  Debug.invariant(
    inFlight === running,
    'soak-slots-leaked',
    () => `${inFlight} slots held, ${running} in use`,
  );
  Debug.invariant(waiting === 0, 'soak-requests-left', () => `${waiting} requests waiting`);
}

/** Runs one scenario in virtual time; throws if an invariant is violated. */
export default function runScenario(scenario: SoakScenario): SoakCounts {
  const world = createWorld(scenario);
  const run = createSoakRun(scenario, world);
  run.publishPool();
  run.publishMembers([]);
  scheduleFaults(run, scenario.faults);
  scheduleArrivals(run, scenario);
  repeatEvery(run, HOST_TICK_INTERVAL_MILLISECONDS, RUN_MILLISECONDS, () =>
    run.hosts.forEach((host) => host.tick()),
  );
  repeatEvery(run, LOAD_REPORT_INTERVAL_MILLISECONDS, RUN_MILLISECONDS, () =>
    run.engines.forEach((engine) => run.sendToScheduler(engine.createLoadReport())),
  );
  repeatEvery(run, IN_FLIGHT_REPORT_INTERVAL_MILLISECONDS, RUN_MILLISECONDS, run.reportInFlight);
  world.advance(RUN_MILLISECONDS);
  assertNoLeaks(run);
  return world.counts;
}
