import type { AcceptedConfiguration } from '@rattanreel/configuration';
import { createSystemClock, createSystemRandom, fail, ok } from '@rattanreel/core';
import type { Outcome, Timer } from '@rattanreel/core';
import { createEngineClient, createServiceClient } from '@rattanreel/dispatch';
import { createDecisionLog, createLogger, createMetrics } from '@rattanreel/observability';
import { createObjectStoreClient } from '@rattanreel/platform';
import { createPeerTransport } from '@rattanreel/transport';
import createCallerApplication from './callers/createCallerApplication';
import createOrderDispatcher from './callers/createOrderDispatcher';
import createAdmission from './createAdmission';
import createKeylessOrderDesk from './createKeylessOrderDesk';
import createSettingsView from './createSettingsView';
import createStaticMembership from './createStaticMembership';
import listenForCallers from './listenForCallers';
import createGrantClient from './scheduling/createGrantClient';
import createPeerRouter from './scheduling/createPeerRouter';
import createSchedulerDirectory from './scheduling/createSchedulerDirectory';
import type {
  CallerServices,
  EntryHost,
  EntryHostError,
  EntryHostOptions,
  PeerAnswer,
  PeerMessage,
  PeerQuestion,
  SettingsView,
} from './types';

const LARGEST_REQUESTS_IN_HAND = 4_096;
const UPDATE_INTERVAL_MS = 500;

/** Starts an entry host: its listeners, its tasks and the wiring between them. */
export default async function createEntryHost(
  options: EntryHostOptions,
): Promise<Outcome<EntryHost, EntryHostError>> {
  const { settings } = options;
  const { failureDomain } = settings;
  const clock = options.clock ?? createSystemClock();
  const random = options.random ?? createSystemRandom();
  const self = { entryHost: settings.entryHost, incarnation: random.identifier() };
  const logger =
    options.logger ?? createLogger(settings.logLevel, { entryHost: self.entryHost, failureDomain });
  const metrics = createMetrics();
  const decisions = createDecisionLog({ logger, clock, metrics });
  const engines = createEngineClient();
  const serviceClient = createServiceClient();
  const store = createObjectStoreClient({ url: settings.platformUrl, clock, random });
  const admission = createAdmission(LARGEST_REQUESTS_IN_HAND);
  let view: SettingsView | undefined;
  const membership = createStaticMembership(self, () => view);

  const transportOutcome = await createPeerTransport<PeerMessage, PeerQuestion, PeerAnswer>({
    identity: self,
    listenAddress: settings.peerAddress,
    security: settings.peerSecurity,
    onMessage: ({ body }) => router.receive(body),
    onQuestion: async ({ body }) => ({
      kind: 'order',
      answer: await services.orders.answerPeer(body.order),
    }),
  });
  if (transportOutcome.kind === 'error') {
    return transportOutcome;
  }
  const transport = transportOutcome.value;

  function sendToPeer(entryHost: string, message: PeerMessage): void {
    const address = view?.tryFindEntryHost(entryHost)?.peerAddress;
    if (address !== undefined) {
      transport.send(address, message);
    }
  }

  const schedulers = createSchedulerDirectory({
    failureDomain,
    membership,
    clock,
    random,
    engines,
    decisions,
    tryGetSettings: () => view,
    tryGetShares: () => undefined,
    getNeighbours: () => [],
    getKnownHosts: () =>
      view?.settings.failureDomains.flatMap(({ id }) => membership.aliveIn(id)) ?? [],
    getDeadHosts: () => [],
    sendToHost: (pool, message) => router.sendToHost(pool, message),
    cancelAtBackendServer(effect) {
      const server = view?.tryFindBackendServer(effect.backendServer);
      if (server !== undefined) {
        void engines.cancelStream(server.address, effect.request);
      }
    },
    takeEvidence: () => undefined,
    onSchedulerChanged(pool) {
      router.sendToScheduler(pool, failureDomain, grants.report(pool, failureDomain));
      grants.askAgain(pool, failureDomain);
    },
  });
  const router = createPeerRouter({
    failureDomain,
    membership,
    tryGetTask: schedulers.tryGetTask,
    sendToPeer,
    receiveFromScheduler: (pool, domain, message) => grants.receive(pool, domain, message),
  });
  const grants = createGrantClient({
    self,
    homeDomain: failureDomain,
    clock,
    send: router.sendToScheduler,
  });
  const orderDispatcher = createOrderDispatcher(() => services);
  const services: CallerServices = {
    self,
    failureDomain,
    clock,
    random,
    logger,
    metrics,
    decisions,
    grants,
    engines,
    services: serviceClient,
    orders: createKeylessOrderDesk(orderDispatcher.dispatch),
    orderDispatcher,
    tryGetSettings: () => view,
    admission,
  };

  const watch = store.watch<AcceptedConfiguration>('configuration', (event) => {
    if (event.kind === 'listed' || event.kind === 'changed') {
      const object = event.kind === 'changed' ? event.object : event.list.items[0];
      if (object !== undefined) {
        view = createSettingsView(object.value.settings);
        schedulers.update();
      }
    }
  });
  let timer: Timer | undefined;
  function updateRegularly(): void {
    schedulers.update();
    timer = clock.after(UPDATE_INTERVAL_MS, updateRegularly);
  }
  updateRegularly();

  const listener = await listenForCallers(
    createCallerApplication(services),
    settings.callerAddress,
  );
  if (listener.kind === 'error') {
    return fail(listener.error);
  }

  async function close(): Promise<void> {
    timer?.cancel();
    watch.close();
    schedulers.close();
    await transport.close();
    await store.close();
    await engines.close();
    await serviceClient.close();
  }

  return ok({
    callerAddress: listener.value.address,
    peerAddress: transport.address,
    incarnation: self.incarnation,
    isReady: () => view !== undefined && !admission.isStopping(),
    async stop() {
      admission.stop();
      await admission.drained();
      await listener.value.close();
      await close();
    },
    async kill() {
      listener.value.cut();
      await close();
    },
  });
}
