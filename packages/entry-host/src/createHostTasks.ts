import type { CancelAtBackendServer } from '@rattanreel/scheduling';
import createConfigurationTask from './configuration/createConfigurationTask';
import createMovesTask from './moves/createMovesTask';
import createMembershipTask from './membership/createMembershipTask';
import buildPeersChanged from './membership/buildPeersChanged';
import reportListedHosts from './membership/reportListedHosts';
import listOtherIncarnations from './membership/listOtherIncarnations';
import listRemotePools from './membership/listRemotePools';
import createOrderTasks from './orders/createOrderTasks';
import createGrantClient from './scheduling/createGrantClient';
import createPeriodicTasks from './createPeriodicTasks';
import createPlacementTask from './placement/createPlacementTask';
import createPeerRouter from './scheduling/createPeerRouter';
import createLocalSchedulers from './scheduling/createLocalSchedulers';
import type { CallerServices } from './callers/types';
import type { HostContext, HostTasks, HostTransport, PeerAnswer, PeerMessage } from './types';

/** Creates the tasks of one entry host and connects each to the messages of the others. */
export default function createHostTasks(context: HostContext, transport: HostTransport): HostTasks {
  const { settings, clock, logger, engineClient, decisions } = context;
  const { entryHost, failureDomain } = settings;

  const membership = createMembershipTask({
    entryHost,
    failureDomain,
    ...context,
    address: transport.address,
    send: transport.send,
    onMembersChanged(message) {
      orderTasks.handleMembersChanged(message);
      schedulers.handleMembersChanged(message);
    },
    onIncarnationChanged: () => schedulers.update(),
    onReplaced: () => logger.error({ entryHost }, 'another process runs under the same name'),
    onLaterGeneration: (effect) => configuration.handle(effect),
  });

  const configuration = createConfigurationTask({
    entryHost,
    ...context,
    address: transport.address,
    seedPeers: settings.seedPeers,
    send: transport.send,
    onChanged(generation, { entryHosts, drained }) {
      const leaving = context.admission.isStopping() || drained.entryHosts.includes(entryHost);
      membership.handle({ kind: 'configurationChanged', generation, entryHosts });
      membership.handle({ kind: 'leavingChanged', leaving });
      schedulers.update();
    },
  });
  const { tryGetSettings } = configuration;

  const tryGetPeerAddress = (name: string) => tryGetSettings()?.tryFindEntryHost(name)?.peerAddress;

  function sendToPeer(name: string, message: PeerMessage): void {
    const address = tryGetPeerAddress(name);
    if (address !== undefined) {
      transport.send(address, message);
    }
  }

  function cancelAtBackendServer({ backendServer, request }: CancelAtBackendServer): void {
    const server = tryGetSettings()?.tryFindBackendServer(backendServer);
    if (server !== undefined) {
      void engineClient.cancelStream(server.address, request);
    }
  }

  const schedulers = createLocalSchedulers({
    ...context,
    failureDomain,
    membership,
    tryGetSettings,
    tryGetShares: (pool) => moves.tryGetShares(pool),
    getRemotePools: (pool) => listRemotePools(membership.view(), pool, failureDomain),
    sendToHost: (pool, message) => router.sendToHost(pool, message),
    cancelAtBackendServer,
    receiveEvidence: (pool, evidence) => moves.receiveEvidence(pool, evidence),
    onSchedulerChanged(pool, domain) {
      router.sendToScheduler(pool, domain, grants.buildInFlightReport(pool, domain));
      grants.resendQueued(pool, domain);
    },
  });

  const router = createPeerRouter({
    failureDomain,
    membership,
    tryGetTask: schedulers.tryGetTask,
    sendToPeer,
    receiveFromScheduler: (pool, domain, message) => grants.receive(pool, domain, message),
    receiveMembership: (message) => membership.handle({ kind: 'peerMessageReceived', message }),
    receiveConfiguration: (message) =>
      configuration.handle({ kind: 'peerMessageReceived', message }),
    receiveMove: (pool, message) => moves.receive(pool, message),
  });

  const moves = createMovesTask({
    ...context,
    entryHost,
    failureDomain,
    membership,
    tryGetTask: schedulers.tryGetTask,
    getFailureDomains: (pool) => tryGetSettings()?.getFailureDomains(pool) ?? [],
    getPools: () => tryGetSettings()?.settings.pools.map(({ id }) => id) ?? [],
    sendToPeer: (name, pool, message) => sendToPeer(name, { kind: 'move', pool, message }),
    onSharesChanged: schedulers.update,
  });

  const grants = createGrantClient({
    getSelf: membership.self,
    homeDomain: failureDomain,
    ...context,
    send: router.sendToScheduler,
  });

  const placement = createPlacementTask({
    ...context,
    failureDomain,
    tryGetSettings,
    tryGetMove: moves.tryGetRecord,
  });

  const orderTasks = createOrderTasks(context, {
    transport,
    tryGetPeerAddress,
    getServices: () => services,
    listOtherIncarnations: () => listOtherIncarnations(membership.view()),
    isFirstDelegate: () => membership.view().delegates[0] === entryHost,
  });
  const { orders, orderDispatcher } = orderTasks;

  const services: CallerServices = {
    ...context,
    failureDomain,
    grants,
    orders,
    orderDispatcher,
    tryGetSettings,
  };

  const periodicTasks = createPeriodicTasks({
    clock,
    update() {
      configuration.handle(buildPeersChanged(entryHost, membership.view()));
      schedulers.update();
      membership.handle({ kind: 'roomsChanged', rooms: schedulers.getPoolCapacities() });
      moves.update();
      placement.update(membership.view().isDelegate, membership.self().incarnation);
    },
    updateHostList: () => reportListedHosts(context.store, membership),
    reportInFlight: () =>
      grants.forEachPoolInUse((pool, domain) =>
        router.sendToScheduler(pool, domain, grants.buildInFlightReport(pool, domain)),
      ),
  });

  return {
    membership,
    configuration,
    moves,
    schedulers,
    orders,
    services,
    receive: router.receive,
    answer: async (question): Promise<PeerAnswer> =>
      question.kind === 'order'
        ? { kind: 'order', answer: await orderTasks.answerOwner(question) }
        : { kind: 'decisions', decisions: decisions.decisionsOf(question.request) },
    start() {
      membership.start();
      configuration.start();
      periodicTasks.start();
    },
    async close() {
      periodicTasks.stop();
      configuration.close();
      schedulers.close();
      orderTasks.close();
      await Promise.all([moves.close(), placement.close()]);
    },
  };
}
