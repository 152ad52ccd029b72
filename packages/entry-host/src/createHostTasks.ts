import { createOrderDesk } from '@rattanreel/orders';
import type { Timer } from '@rattanreel/core';
import createConfigurationTask from './configuration/createConfigurationTask';
import createMembershipTask from './membership/createMembershipTask';
import listNeighbours from './membership/listNeighbours';
import createOrderDispatcher from './orders/createOrderDispatcher';
import createOwnerQuestions from './orders/createOwnerQuestions';
import createGrantClient from './scheduling/createGrantClient';
import createPeerRouter from './scheduling/createPeerRouter';
import createSchedulerDirectory from './scheduling/createSchedulerDirectory';
import type { CallerServices } from './callers/types';
import type { HostContext, HostTasks, HostTransport, PeerAnswer } from './types';

const UPDATE_INTERVAL_MS = 500;
const REPORT_INTERVAL_MS = 2_000;

/** Makes the tasks of one entry host and binds each to the messages of the others. */
export default function createHostTasks(context: HostContext, transport: HostTransport): HostTasks {
  const { settings, clock, random, incarnation, logger, engines, decisions, store } = context;
  const { entryHost, failureDomain } = settings;
  let updateTimer: Timer | undefined;
  let reportTimer: Timer | undefined;

  const membership = createMembershipTask({
    entryHost,
    failureDomain,
    address: transport.address,
    incarnation,
    clock,
    random,
    send: transport.send,
    onMembersChanged: (message) => schedulers.membersChanged(message),
    onIncarnationChanged: () => schedulers.update(),
    onReplaced: () => logger.error({ entryHost }, 'another process runs under this name'),
    onLaterGeneration: (address) => configuration.askPeer(address),
  });

  const configuration = createConfigurationTask({
    store,
    transport,
    seedPeers: settings.seedPeers,
    onChanged({ generation, settings: { entryHosts } }) {
      membership.handle({ kind: 'configurationChanged', generation, entryHosts });
      schedulers.update();
    },
  });
  const { tryGetSettings } = configuration;

  function tryGetPeerAddress(name: string): string | undefined {
    return tryGetSettings()?.tryFindEntryHost(name)?.peerAddress;
  }

  const schedulers = createSchedulerDirectory({
    failureDomain,
    membership,
    clock,
    random,
    engines,
    decisions,
    tryGetSettings,
    tryGetShares: () => undefined,
    getNeighbours: (pool) => listNeighbours(membership.view(), pool, failureDomain),
    sendToHost: (pool, message) => router.sendToHost(pool, message),
    cancelAtBackendServer({ backendServer, request }) {
      const server = tryGetSettings()?.tryFindBackendServer(backendServer);
      if (server !== undefined) {
        void engines.cancelStream(server.address, request);
      }
    },
    takeEvidence: () => undefined,
    onSchedulerChanged(pool, domain) {
      router.sendToScheduler(pool, domain, grants.report(pool, domain));
      grants.askAgain(pool, domain);
    },
  });

  const router = createPeerRouter({
    failureDomain,
    membership,
    tryGetTask: schedulers.tryGetTask,
    sendToPeer(name, message) {
      const address = tryGetPeerAddress(name);
      if (address !== undefined) {
        transport.send(address, message);
      }
    },
    receiveFromScheduler: (pool, domain, message) => grants.receive(pool, domain, message),
    receiveMembership: (message) => membership.handle({ kind: 'peerMessageReceived', message }),
  });

  const grants = createGrantClient({
    getSelf: membership.self,
    homeDomain: failureDomain,
    clock,
    send: router.sendToScheduler,
  });

  const orderDispatcher = createOrderDispatcher(() => services);
  const ownerQuestions = createOwnerQuestions({
    incarnation,
    transport,
    tryGetAddress: tryGetPeerAddress,
    getOrderDesk: () => orders,
  });
  const orders = createOrderDesk({
    entryHost,
    incarnation,
    store,
    clock,
    random,
    dispatch: orderDispatcher.dispatch,
    askOwner: ownerQuestions.askOwner,
  });

  const services: CallerServices = {
    ...context,
    failureDomain,
    grants,
    orders,
    orderDispatcher,
    tryGetSettings,
  };

  function update(): void {
    schedulers.update();
    membership.handle({ kind: 'roomsChanged', rooms: schedulers.rooms() });
    updateTimer = clock.after(UPDATE_INTERVAL_MS, update);
  }

  /** Repeats what is in flight, so that a scheduler that missed a release learns of it. */
  function report(): void {
    grants.forEachPlace((pool, domain) =>
      router.sendToScheduler(pool, domain, grants.report(pool, domain)),
    );
    reportTimer = clock.after(REPORT_INTERVAL_MS, report);
  }

  return {
    membership,
    configuration,
    orders,
    services,
    receive: router.receive,
    async answer(question): Promise<PeerAnswer> {
      switch (question.kind) {
        case 'order':
          return { kind: 'order', answer: await ownerQuestions.answer(question) };
        case 'configuration':
          return { kind: 'configuration', configuration: configuration.tryGetAccepted() };
        default:
          return question satisfies never;
      }
    },
    start() {
      membership.start();
      configuration.start();
      update();
      report();
    },
    close() {
      updateTimer?.cancel();
      reportTimer?.cancel();
      configuration.close();
      schedulers.close();
    },
  };
}
