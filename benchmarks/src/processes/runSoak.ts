import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createRandom, createSystemClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import createStoreStandIn from '@rattanreel/platform-adapter/testing';
import applyFault from './applyFault';
import createPromiseLedger from './createPromiseLedger';
import createSoakCallers from './createSoakCallers';
import createSoakHost from './createSoakHost';
import createSoakOperator from './createSoakOperator';
import drawFaults from './drawFaults';
import findFreePorts from './findFreePorts';
import soakBounds from './soakBounds';
import type { PromiseLedger, RunSummary } from './types';

const HOSTS = 4;
const PORTS_OF_A_HOST = 4;
const FAULT_SPAN: Milliseconds = 8_000;
const LONGEST_FAULT: Milliseconds = 3_000;
/** Time of calls after the recovery bound. */
const RECOVERED_SPAN: Milliseconds = 3_000;
const START_PATIENCE: Milliseconds = 10_000;
const LAG_INTERVAL: Milliseconds = 50;
/** The soak's own pause that puts a run's bounds in doubt: the machine held all processes up. */
const MOST_LAG: Milliseconds = 200;

const failureDomains = ['a', 'b'];

interface RunSoakOptions {
  readonly seed: number;
  /** The bundled program. */
  readonly program: string;
}

/** Notes when this machine held the soak itself up, and with it the hosts. */
function watchOwnLag(ledger: PromiseLedger): NodeJS.Timeout {
  let before = ledger.now();
  return setInterval(() => {
    const lag = ledger.now() - before - LAG_INTERVAL;
    before = ledger.now();
    if (lag > MOST_LAG) {
      ledger.disturbed('all', 0, 'soakHeldUp');
    }
  }, LAG_INTERVAL);
}

/** Plays one seed: starts the hosts, applies its faults, judges what callers and servers saw. */
export default async function runSoak({ seed, program }: RunSoakOptions): Promise<RunSummary> {
  const folder = await mkdtemp(path.join(tmpdir(), `soak-${seed}-`));
  const random = createRandom(seed);
  const faults = drawFaults(createRandom(seed), FAULT_SPAN);
  const clock = createSystemClock();
  const ledger = createPromiseLedger({ clock, bounds: soakBounds });
  const store = await createStoreStandIn();
  const operator = createSoakOperator({
    store,
    ledger,
    random,
    bounds: soakBounds,
    failureDomains,
  });
  await operator.start();
  const firstPort = await findFreePorts(seed, HOSTS * PORTS_OF_A_HOST);
  const ports = Array.from({ length: HOSTS }, (_, index) => firstPort + index * PORTS_OF_A_HOST);
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
        onOwnEnd: ledger.endedByItself,
      }),
    ),
  );
  const lagTimer = watchOwnLag(ledger);
  hosts.forEach((host) => host.start());
  const callers = createSoakCallers({
    hosts,
    ledger,
    random,
    bounds: soakBounds,
    getKeys: operator.getKeys,
  });
  const startedAt = ledger.now();
  while (callers.countReady() < HOSTS && ledger.now() - startedAt < START_PATIENCE) {
    await sleep(clock, LAG_INTERVAL);
  }
  ledger.disturbed('all', 0, 'started');
  await sleep(clock, soakBounds.stable);
  const world = { hosts, store, operator, callers, ledger };
  faults.forEach((fault) => setTimeout(() => applyFault(world, fault), fault.at));
  await sleep(clock, FAULT_SPAN + LONGEST_FAULT + soakBounds.recover + RECOVERED_SPAN);
  await callers.stop();
  clearInterval(lagTimer);
  hosts.forEach((host) => host.signal('SIGCONT'));
  hosts.forEach((host) => host.signal('SIGTERM'));
  await Promise.all(hosts.map((host) => host.untilEnded()));
  hosts.forEach(({ storeLink }) => storeLink.close());
  operator.close();
  store.close();
  const violations = ledger.judge();
  if (violations.length === 0) {
    await rm(folder, { recursive: true });
  }
  return { seed, faults: faults.length, ...ledger.count(), violations };
}
