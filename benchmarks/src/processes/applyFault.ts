import type createStoreStandIn from '@rattanreel/platform-adapter/testing';
import applyProcessFault from './applyProcessFault';
import type createSoakCallers from './createSoakCallers';
import type createSoakOperator from './createSoakOperator';
import putMalformedEntry from './putMalformedEntry';
import soakBounds from './soakBounds';
import startHost from './startHost';
import type { Fault, HostWorld, ServerMode, WorldFault } from './types';

interface SoakWorld extends HostWorld {
  readonly store: Awaited<ReturnType<typeof createStoreStandIn>>;
  readonly operator: ReturnType<typeof createSoakOperator>;
  readonly callers: ReturnType<typeof createSoakCallers>;
}

function scheduleRestart(world: SoakWorld, index: number, after: number): void {
  const host = world.hosts[index]!;
  setTimeout(() => {
    void host.waitForExit().then(() => {
      if (!host.isRunning) {
        startHost(world, index);
      }
    });
  }, after);
}

function applyServerMode(
  world: SoakWorld,
  { target, duration }: WorldFault,
  mode: ServerMode,
): void {
  const server = world.operator.getServer(target);
  server.setMode(mode);
  setTimeout(() => server.setMode('well'), duration);
}

/** Applies one fault to the running system and ends it after its duration. */
export default function applyFault(world: SoakWorld, fault: Fault): void {
  const { hosts, store, operator, recorder } = world;
  const { target, duration } = fault;
  const index = target % hosts.length;
  const host = hosts[index]!;
  const scheduleEnd = (action: () => void): void => {
    setTimeout(action, duration);
  };
  switch (fault.kind) {
    case 'hostKilled':
      recorder.recordDisturbance(index, duration, fault.kind);
      host.control('SIGKILL');
      scheduleRestart(world, index, duration);
      return;
    case 'hostStopped':
      recorder.recordDisturbance(index, soakBounds.grace, fault.kind);
      void host.sendSignal('SIGTERM');
      scheduleRestart(world, index, duration);
      return;
    case 'hostPaused':
      recorder.recordDisturbance(index, duration, fault.kind);
      host.control('SIGSTOP');
      scheduleEnd(() => host.control('SIGCONT'));
      return;
    case 'hostReloaded':
      void host.reload();
      return;
    case 'storeDown':
      recorder.recordDisturbance('all', duration, fault.kind);
      store.setOutage(503);
      scheduleEnd(() => store.setOutage(undefined));
      return;
    case 'storeSilent':
      recorder.recordDisturbance('all', duration, fault.kind);
      store.setUnresponsive(true);
      scheduleEnd(() => store.setUnresponsive(false));
      return;
    case 'storeCompacted':
      recorder.recordDisturbance('all', 0, fault.kind);
      store.compact();
      return;
    case 'storeLinkCut':
      recorder.recordDisturbance(index, duration, fault.kind);
      host.storeLink.setState('silent');
      scheduleEnd(() => {
        host.storeLink.setState('open');
        // Bytes were discarded, so the remaining ones must not continue the same message.
        host.storeLink.resetAll();
      });
      return;
    case 'storeLinkReset':
      recorder.recordDisturbance(index, 0, fault.kind);
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
    case 'hostSignalled':
    case 'hostReloadedAtStart':
    case 'hostRestartedOverlapping':
    case 'hostsStoppedTogether':
    case 'hostsStoppedInTurn':
    case 'everyHostStopped':
    case 'portTaken':
      void applyProcessFault(world, fault);
      return;
    default:
      fault satisfies never;
  }
}
