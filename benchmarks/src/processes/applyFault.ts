import type createStoreStandIn from '@rattanreel/platform-adapter/testing';
import type createSoakCallers from './createSoakCallers';
import type createSoakOperator from './createSoakOperator';
import putMalformedEntry from './putMalformedEntry';
import type { Fault, SoakRecorder, ServerMode, SoakHost } from './types';

interface SoakWorld {
  readonly hosts: readonly SoakHost[];
  readonly store: Awaited<ReturnType<typeof createStoreStandIn>>;
  readonly operator: ReturnType<typeof createSoakOperator>;
  readonly callers: ReturnType<typeof createSoakCallers>;
  readonly recorder: SoakRecorder;
}

/** Duration of the disturbance that a start causes: until the host serves its first callers. */
const START_DISTURBANCE_MILLISECONDS = 1_500;
const GRACE_PERIOD_MILLISECONDS = 8_000;

function scheduleRestart(world: SoakWorld, index: number, after: number): void {
  const host = world.hosts[index]!;
  setTimeout(() => {
    void host.waitForExit().then(() => {
      if (!host.isRunning) {
        world.recorder.recordDisturbance(index, START_DISTURBANCE_MILLISECONDS, 'started');
        host.start();
      }
    });
  }, after);
}

function applyServerMode(world: SoakWorld, { target, duration }: Fault, mode: ServerMode): void {
  const server = world.operator.getServer(target);
  server.setMode(mode);
  setTimeout(() => server.setMode('well'), duration);
}

/** Applies one fault to the running system and ends it after its duration. */
export default function applyFault(world: SoakWorld, fault: Fault): void {
  const { hosts, store, operator, recorder } = world;
  const { kind, target, duration } = fault;
  const index = target % hosts.length;
  const host = hosts[index]!;
  const scheduleEnd = (action: () => void): void => {
    setTimeout(action, duration);
  };
  switch (kind) {
    case 'hostKilled':
      recorder.recordDisturbance(index, duration, kind);
      host.sendSignal('SIGKILL');
      scheduleRestart(world, index, duration);
      return;
    case 'hostStopped':
      recorder.recordDisturbance(index, GRACE_PERIOD_MILLISECONDS, kind);
      host.sendSignal('SIGTERM');
      scheduleRestart(world, index, duration);
      return;
    case 'hostPaused':
      recorder.recordDisturbance(index, duration, kind);
      host.sendSignal('SIGSTOP');
      scheduleEnd(() => host.sendSignal('SIGCONT'));
      return;
    case 'hostReloaded':
      host.reload();
      return;
    case 'storeDown':
      recorder.recordDisturbance('all', duration, kind);
      store.setOutage(503);
      scheduleEnd(() => store.setOutage(undefined));
      return;
    case 'storeSilent':
      recorder.recordDisturbance('all', duration, kind);
      store.setUnresponsive(true);
      scheduleEnd(() => store.setUnresponsive(false));
      return;
    case 'storeCompacted':
      recorder.recordDisturbance('all', 0, kind);
      store.compact();
      return;
    case 'storeLinkCut':
      recorder.recordDisturbance(index, duration, kind);
      host.storeLink.setState('silent');
      scheduleEnd(() => {
        host.storeLink.setState('open');
        // Bytes were discarded, so the remaining ones must not continue the same message.
        host.storeLink.resetAll();
      });
      return;
    case 'storeLinkReset':
      recorder.recordDisturbance(index, 0, kind);
      host.storeLink.resetAll();
      return;
    case 'serverCrashed':
      operator.crashServer(target);
      return;
    case 'serverFails':
      applyServerMode(world, fault, 'fails');
      return;
    case 'serverLosesAnswers':
      applyServerMode(world, fault, 'losesAnswers');
      return;
    case 'serverHangs':
      applyServerMode(world, fault, 'hangs');
      return;
    case 'serverBreaksOff':
      applyServerMode(world, fault, 'breaksOff');
      return;
    case 'serverSendsWithoutEnd':
      applyServerMode(world, fault, 'sendsWithoutEnd');
      return;
    case 'entryMalformed':
      putMalformedEntry(store, fault);
      return;
    case 'serverLinkSlow': {
      const { link } = operator.getServer(target);
      link.setState('slow');
      scheduleEnd(() => link.setState('open'));
      return;
    }
    case 'serverLinkReset':
      operator.getServer(target).link.resetAll();
      return;
    case 'serverDrained':
      operator.drainServer(target);
      return;
    case 'domainEvacuated':
      operator.evacuateDomain(target, duration);
      return;
    case 'keyRevoked':
      operator.replaceKey();
      return;
    case 'configurationStorm':
      operator.startConfigurationStorm();
      return;
    case 'customerBurst':
      world.callers.burst(duration);
      return;
    default:
      kind satisfies never;
  }
}
