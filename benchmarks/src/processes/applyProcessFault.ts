import { setTimeout as sleep } from 'node:timers/promises';
import holdPort from './holdPort';
import soakBounds from './soakBounds';
import startHost from './startHost';
import type { HostWorld, ProcessFault } from './types';

const MAXIMUM_EARLY_RELOAD_GAP_MILLISECONDS = 100;

/** Asks a host to stop, and waits until it has. */
async function stopHost(world: HostWorld, index: number, fault: ProcessFault): Promise<void> {
  const host = world.hosts[index]!;
  world.recorder.recordDisturbance(index, soakBounds.grace, fault.kind);
  await host.sendSignal('SIGTERM');
  await host.waitForExit();
}

function startUnlessRunning(world: HostWorld, index: number): void {
  if (!world.hosts[index]!.isRunning) {
    startHost(world, index);
  }
}

async function signalHost(world: HostWorld, index: number, fault: ProcessFault): Promise<void> {
  const host = world.hosts[index]!;
  world.recorder.recordDisturbance(index, soakBounds.grace, fault.kind);
  for (const { signal, after } of fault.signals) {
    await sleep(after);
    await host.sendSignal(signal);
  }
  if (fault.signals.some(({ signal }) => signal !== 'SIGHUP' && signal !== 'SIGUSR2')) {
    await host.waitForExit();
    startUnlessRunning(world, index);
  }
}

async function reloadAtStart(world: HostWorld, index: number, fault: ProcessFault): Promise<void> {
  await stopHost(world, index, fault);
  startUnlessRunning(world, index);
  for (const { after } of fault.signals) {
    await world.hosts[index]!.reload();
    await sleep(after % MAXIMUM_EARLY_RELOAD_GAP_MILLISECONDS);
  }
}

/** Stops a host and starts its successor on the same addresses while it drains. */
async function restartOverlapping(
  world: HostWorld,
  index: number,
  fault: ProcessFault,
): Promise<void> {
  const host = world.hosts[index]!;
  world.recorder.recordDisturbance(index, soakBounds.grace, fault.kind);
  await host.sendSignal('SIGTERM');
  await sleep(fault.signals[0]?.after);
  // A fault that overlaps may have started the successor.
  if (host.isStopping || !host.isRunning) {
    startHost(world, index);
  }
}

/** Returns the indices of two hosts or more, never all of them. */
function selectHosts({ hosts }: HostWorld, { target }: ProcessFault): readonly number[] {
  const count = 2 + (target % Math.max(1, hosts.length - 2));
  return Array.from({ length: count }, (_, offset) => (target + offset) % hosts.length);
}

async function restartHost(world: HostWorld, index: number, fault: ProcessFault): Promise<void> {
  await stopHost(world, index, fault);
  startUnlessRunning(world, index);
}

/** Asks every host to stop, one after the other, also while those before it still drain. */
async function stopEveryHost(world: HostWorld, fault: ProcessFault): Promise<void> {
  const isOverlapping = fault.target % 2 === 0;
  for (const [index, host] of world.hosts.entries()) {
    world.recorder.recordDisturbance(index, soakBounds.grace, fault.kind);
    await host.sendSignal('SIGTERM');
    for (const { signal, after } of fault.signals) {
      await sleep(after);
      await host.sendSignal(signal);
    }
    if (isOverlapping && (host.isStopping || !host.isRunning)) {
      startHost(world, index);
    } else {
      void host.waitForExit().then(() => startUnlessRunning(world, index));
    }
    await sleep(fault.duration);
  }
}

/** Applies one fault of the supervision of processes; resolves once its processes are started. */
export default async function applyProcessFault(
  world: HostWorld,
  fault: ProcessFault,
): Promise<void> {
  const { hosts } = world;
  const index = fault.target % hosts.length;
  switch (fault.kind) {
    case 'hostSignalled':
      return signalHost(world, index, fault);
    case 'hostReloadedAtStart':
      return reloadAtStart(world, index, fault);
    case 'hostRestartedOverlapping':
      return restartOverlapping(world, index, fault);
    case 'hostsStoppedTogether':
      await Promise.all(selectHosts(world, fault).map((each) => restartHost(world, each, fault)));
      return undefined;
    case 'hostsStoppedInTurn':
      for (const each of selectHosts(world, fault)) {
        await restartHost(world, each, fault);
      }
      return undefined;
    case 'everyHostStopped':
      return stopEveryHost(world, fault);
    case 'portTaken': {
      await stopHost(world, index, fault);
      const { ports } = hosts[index]!;
      await holdPort(ports[fault.target % ports.length]!, fault.duration);
      startUnlessRunning(world, index);
      return undefined;
    }
    default:
      return fault.kind satisfies never;
  }
}
