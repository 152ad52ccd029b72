import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createRandom, createSystemClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import createStoreStandIn from '@rattanreel/platform-adapter/testing';
import applyFault from './applyFault';
import createKeptCallers from './createKeptCallers';
import createSoakRecorder from './createSoakRecorder';
import createSoakCallers from './createSoakCallers';
import createSoakHost from './createSoakHost';
import createSoakOperator from './createSoakOperator';
import drawFaults from './drawFaults';
import findFreePorts from './findFreePorts';
import monitorMachine from './monitorMachine';
import soakBounds from './soakBounds';
import type { RunSummary, SoakShape } from './types';

const DEFAULT_HOST_COUNT = 4;
const PORTS_PER_HOST = 4;
const FAULT_PERIOD: Milliseconds = 8_000;
const MAXIMUM_FAULT_DURATION: Milliseconds = 3_000;
/** Time for which callers go on sending after the recovery bound. */
const RECOVERED_PERIOD: Milliseconds = 3_000;
const START_TIMEOUT: Milliseconds = 10_000;
const READY_CHECK_INTERVAL: Milliseconds = 50;

const failureDomains = ['a', 'b'];

interface RunSoakOptions {
  readonly seed: number;
  /** The bundled program. */
  readonly program: string;
  readonly hostCount?: number;
  readonly shape?: SoakShape;
}

/**
 * Runs one seed: starts the hosts, applies the faults and checks what callers and servers observed.
 */
export default async function runSoak(options: RunSoakOptions): Promise<RunSummary> {
  const { seed, program, hostCount = DEFAULT_HOST_COUNT, shape = 'faults' } = options;
  const folder = await mkdtemp(path.join(tmpdir(), `soak-${seed}-`));
  const random = createRandom(seed);
  const faults = drawFaults(createRandom(seed), FAULT_PERIOD, shape);
  const clock = createSystemClock();
  const recorder = createSoakRecorder({ clock, bounds: soakBounds });
  const store = await createStoreStandIn();
  const operator = createSoakOperator({
    store,
    recorder,
    random,
    bounds: soakBounds,
    failureDomains,
    hostCount,
  });
  await operator.start();
  const firstPort = await findFreePorts(seed, hostCount * PORTS_PER_HOST);
  const ports = Array.from({ length: hostCount }, (_, index) => firstPort + index * PORTS_PER_HOST);
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
        recorder,
      }),
    ),
  );
  const lagTimer = monitorMachine({ hosts, recorder });
  hosts.forEach((host) => host.start());
  const callers = createSoakCallers({
    hosts,
    recorder,
    random,
    bounds: soakBounds,
    getKeys: operator.getKeys,
  });
  const keptCallers = createKeptCallers({
    hosts,
    recorder,
    random: createRandom(seed + 1),
    getKey: () => operator.getKeys().current,
  });
  const startedAt = recorder.now();
  while (callers.countReadyHosts() < hostCount && recorder.now() - startedAt < START_TIMEOUT) {
    await sleep(clock, READY_CHECK_INTERVAL);
  }
  recorder.recordDisturbance('all', 0, 'started');
  await sleep(clock, soakBounds.stabilityWindow);
  const world = { hosts, store, operator, callers, recorder };
  faults.forEach((fault) => setTimeout(() => applyFault(world, fault), fault.at));
  await sleep(clock, FAULT_PERIOD + MAXIMUM_FAULT_DURATION);
  if (shape === 'faults') {
    await sleep(clock, soakBounds.recover + RECOVERED_PERIOD);
  }
  await callers.stop();
  clearInterval(lagTimer);
  hosts.forEach((host) => host.control('SIGCONT'));
  recorder.recordFinalStop();
  await Promise.all(hosts.map((host) => host.sendSignal('SIGTERM')));
  await Promise.all(hosts.map((host) => host.waitForExit()));
  await keptCallers.stop();
  hosts.forEach(({ storeLink }) => storeLink.close());
  operator.close();
  store.close();
  const violations = recorder.findViolations();
  if (violations.length === 0) {
    await rm(folder, { recursive: true });
  }
  return { seed, faults: faults.length, ...recorder.countRequests(), violations };
}
