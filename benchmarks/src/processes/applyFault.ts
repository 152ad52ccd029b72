import type createStoreStandIn from '@rattanreel/platform-adapter/testing';
import type createSoakCallers from './createSoakCallers';
import type createSoakOperator from './createSoakOperator';
import type { Fault, PromiseLedger, ServerMode, SoakHost } from './types';

interface SoakWorld {
  readonly hosts: readonly SoakHost[];
  readonly store: Awaited<ReturnType<typeof createStoreStandIn>>;
  readonly operator: ReturnType<typeof createSoakOperator>;
  readonly callers: ReturnType<typeof createSoakCallers>;
  readonly ledger: PromiseLedger;
}

/** Time from a start to the first callers; a start counts as a disturbance of its host. */
const START_MS = 1_500;
const GRACE_MS = 8_000;

function restartLater(world: SoakWorld, index: number, after: number): void {
  const host = world.hosts[index]!;
  setTimeout(() => {
    void host.untilEnded().then(() => {
      if (!host.isRunning) {
        world.ledger.disturbed(index, START_MS, 'started');
        host.start();
      }
    });
  }, after);
}

function disturbServer(world: SoakWorld, { target, duration }: Fault, mode: ServerMode): void {
  const server = world.operator.getServer(target);
  server.setMode(mode);
  setTimeout(() => server.setMode('well'), duration);
}

/** Applies one fault to the running system, and lifts it after its time. */
export default function applyFault(world: SoakWorld, fault: Fault): void {
  const { hosts, store, operator, ledger } = world;
  const { kind, target, duration } = fault;
  const index = target % hosts.length;
  const host = hosts[index]!;
  const later = (action: () => void): void => {
    setTimeout(action, duration);
  };
  switch (kind) {
    case 'hostKilled':
      ledger.disturbed(index, duration, kind);
      host.signal('SIGKILL');
      restartLater(world, index, duration);
      return;
    case 'hostStopped':
      ledger.disturbed(index, GRACE_MS, kind);
      host.signal('SIGTERM');
      restartLater(world, index, duration);
      return;
    case 'hostPaused':
      ledger.disturbed(index, duration, kind);
      host.signal('SIGSTOP');
      later(() => host.signal('SIGCONT'));
      return;
    case 'hostReloaded':
      host.reload();
      return;
    case 'storeDown':
      ledger.disturbed('all', duration, kind);
      store.setOutage(503);
      later(() => store.setOutage(undefined));
      return;
    case 'storeSilent':
      ledger.disturbed('all', duration, kind);
      store.setSilent(true);
      later(() => store.setSilent(false));
      return;
    case 'storeCompacted':
      ledger.disturbed('all', 0, kind);
      store.compact();
      return;
    case 'storeLinkCut':
      ledger.disturbed(index, duration, kind);
      host.storeLink.setState('silent');
      later(() => {
        host.storeLink.setState('open');
        // What was lost on the way must not be taken for a message that goes on.
        host.storeLink.resetAll();
      });
      return;
    case 'storeLinkReset':
      ledger.disturbed(index, 0, kind);
      host.storeLink.resetAll();
      return;
    case 'serverCrashed':
      operator.crash(target);
      return;
    case 'serverFails':
      disturbServer(world, fault, 'fails');
      return;
    case 'serverLosesAnswers':
      disturbServer(world, fault, 'losesAnswers');
      return;
    case 'serverHangs':
      disturbServer(world, fault, 'hangs');
      return;
    case 'serverLinkSlow': {
      const { link } = operator.getServer(target);
      link.setState('slow');
      later(() => link.setState('open'));
      return;
    }
    case 'serverLinkReset':
      operator.getServer(target).link.resetAll();
      return;
    case 'serverDrained':
      operator.drain(target);
      return;
    case 'domainEvacuated':
      operator.evacuate(target, duration);
      return;
    case 'keyRevoked':
      operator.replaceKey();
      return;
    case 'configurationStorm':
      operator.storm();
      return;
    case 'customerBurst':
      world.callers.burst(duration);
      return;
    default:
      kind satisfies never;
  }
}
