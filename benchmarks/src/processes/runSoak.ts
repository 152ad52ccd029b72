import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createRandom, createSystemClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import createStoreStandIn from '@rattanreel/platform-adapter/testing';
import applyFault from './applyFault';
import createSoakRecorder from './createSoakRecorder';
import createSoakCallers from './createSoakCallers';
import createSoakHost from './createSoakHost';
import createSoakOperator from './createSoakOperator';
import drawFaults from './drawFaults';
import findFreePorts from './findFreePorts';
import soakBounds from './soakBounds';
import type { SoakRecorder, RunSummary } from './types';

const HOST_COUNT = 4;
const PORTS_PER_HOST = 4;
const FAULT_PERIOD: Milliseconds = 8_000;
const MAXIMUM_FAULT_DURATION: Milliseconds = 3_000;
/** Time for which callers go on sending after the recovery bound. */
const RECOVERED_PERIOD: Milliseconds = 3_000;
const START_TIMEOUT: Milliseconds = 10_000;
const LAG_CHECK_INTERVAL: Milliseconds = 50;
/** Event-loop lag of the soak above which the machine is assumed to have paused all processes. */
const MAXIMUM_LAG: Milliseconds = 200;

const failureDomains = ['a', 'b'];

interface RunSoakOptions {
  readonly seed: number;
  /** The bundled program. */
  readonly program: string;
}

/** Records a disturbance of all hosts whenever the event loop of the soak itself lags. */
function monitorEventLoopLag(recorder: SoakRecorder): NodeJS.Timeout {
  let lastCheckAt = recorder.now();
  return setInterval(() => {
    const lag = recorder.now() - lastCheckAt - LAG_CHECK_INTERVAL;
    lastCheckAt = recorder.now();
    if (lag > MAXIMUM_LAG) {
      recorder.recordDisturbance('all', 0, 'soakHeldUp');
    }
  }, LAG_CHECK_INTERVAL);
}

/**
 * Runs one seed: starts the hosts, applies the faults and checks what callers and servers observed.
 */
export default async function runSoak({ seed, program }: RunSoakOptions): Promise<RunSummary> {
  const folder = await mkdtemp(path.join(tmpdir(), `soak-${seed}-`));
  const random = createRandom(seed);
  const faults = drawFaults(createRandom(seed), FAULT_PERIOD);
  const clock = createSystemClock();
  const recorder = createSoakRecorder({ clock, bounds: soakBounds });
  const store = await createStoreStandIn();
  const operator = createSoakOperator({
    store,
    recorder,
    random,
    bounds: soakBounds,
    failureDomains,
  });
  await operator.start();
  const firstPort = await findFreePorts(seed, HOST_COUNT * PORTS_PER_HOST);
  const ports = Array.from(
    { length: HOST_COUNT },
    (_, index) => firstPort + index * PORTS_PER_HOST,
  );
  const hosts = await Promise.all(
    ports.map((port, index) =>
      createSoakHost({
        index,
        folder,
        program,
        failureDomain: failureDomains[index % failureDomains.length]!,
        port,
        seedPorts: ports.filter((other) => other !== port),
        storeAddress: store.address,
        onUnexpectedExit: recorder.recordUnexpectedExit,
      }),
    ),
  );
  const lagTimer = monitorEventLoopLag(recorder);
  hosts.forEach((host) => host.start());
  const callers = createSoakCallers({
    hosts,
    recorder,
    random,
    bounds: soakBounds,
    getKeys: operator.getKeys,
  });
  const startedAt = recorder.now();
  while (callers.countReadyHosts() < HOST_COUNT && recorder.now() - startedAt < START_TIMEOUT) {
    await sleep(clock, LAG_CHECK_INTERVAL);
  }
  recorder.recordDisturbance('all', 0, 'started');
  await sleep(clock, soakBounds.stabilityWindow);
  const world = { hosts, store, operator, callers, recorder };
  faults.forEach((fault) => setTimeout(() => applyFault(world, fault), fault.at));
  await sleep(clock, FAULT_PERIOD + MAXIMUM_FAULT_DURATION + soakBounds.recover + RECOVERED_PERIOD);
  await callers.stop();
  clearInterval(lagTimer);
  hosts.forEach((host) => host.sendSignal('SIGCONT'));
  hosts.forEach((host) => host.sendSignal('SIGTERM'));
  await Promise.all(hosts.map((host) => host.waitForExit()));
  hosts.forEach(({ storeLink }) => storeLink.close());
  operator.close();
  store.close();
  const violations = recorder.findViolations();
  if (violations.length === 0) {
    await rm(folder, { recursive: true });
  }
  return { seed, faults: faults.length, ...recorder.countRequests(), violations };
}
