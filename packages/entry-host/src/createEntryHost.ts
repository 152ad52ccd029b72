import { getHeapStatistics } from 'node:v8';
import {
  createCallerMemory,
  createGarbageCollector,
  getConnectionLimits,
} from '@rattanreel/connections';
import type { HostCapacity, ListenContext } from '@rattanreel/connections';
import { ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { EntryHostSettings } from '@rattanreel/configuration';
import { createErrorRecorder } from '@rattanreel/observability';
import { createPeerTransport } from '@rattanreel/transport';
import addGauges from './addGauges';
import createAdministrationServices from './administration/createAdministrationServices';
import createCallerApplication from './callers/createCallerApplication';
import createHostContext from './createHostContext';
import createHostTasks from './createHostTasks';
import drainCallers from './drainCallers';
import listenForCallers from './listenForCallers';
import type { CallerListener } from './callers/types';
import type {
  EntryHost,
  EntryHostError,
  EntryHostOptions,
  HostTasks,
  HostTransport,
  PeerAnswer,
  PeerMessage,
  PeerQuestion,
} from './types';

const FLUSH_TIMEOUT_MS = 5_000;
/** Share of the memory for the requests of callers; a handler holds a body several times. */
const CALLER_MEMORY_SHARE = 1 / 12;
/** Share of the memory for messages of peers that have not arrived completely. */
const PEER_MEMORY_SHARE = 1 / 16;
const BYTES_PER_MEGABYTE = 1_048_576;

function getCapacity({ memoryMegabytes, maximumDescriptors }: EntryHostSettings): HostCapacity {
  return {
    memory:
      memoryMegabytes === undefined
        ? getHeapStatistics().heap_size_limit
        : memoryMegabytes * BYTES_PER_MEGABYTE,
    descriptors: maximumDescriptors ?? Infinity,
  };
}

/** Starts the listeners and the tasks of an entry host; waits until its addresses are available. */
export default async function createEntryHost(
  options: EntryHostOptions,
): Promise<Outcome<EntryHost, EntryHostError>> {
  const context = createHostContext(options);
  const { settings, incarnation, admission } = context;
  const { entryHost } = settings;

  const recordError = createErrorRecorder({
    logger: context.logger,
    countError: context.metrics.countError,
  });

  async function closeClients(): Promise<void> {
    await context.store.close();
    await context.engineClient.close();
    await context.serviceClient.close();
  }

  const listening: ListenContext = {
    ...context,
    signal: options.signal,
    countFailure: context.metrics.countListenFailure,
  };

  const capacity = getCapacity(settings);
  const connectionLimits = getConnectionLimits(capacity);
  const memory = createCallerMemory({
    clock: context.clock,
    bytes: capacity.memory * CALLER_MEMORY_SHARE,
    collector: createGarbageCollector(),
  });
  const transport = await createPeerTransport<PeerMessage, PeerQuestion, PeerAnswer>({
    identity: { entryHost, incarnation },
    listenAddress: settings.peerAddress,
    listening: {
      ...listening,
      maximumConnections: connectionLimits.peers,
      backlog: connectionLimits.backlog,
    },
    incompleteBytes: capacity.memory * PEER_MEMORY_SHARE,
    maximumCalls: connectionLimits.peerCalls,
    recordReceived: memory.recordReceived,
    security: settings.peerSecurity,
    onMessage: ({ body }) => tasks.receive(body),
    onQuestion: ({ body }) => tasks.answer(body),
    onHandlerError: recordError,
  });
  if (transport.kind === 'error') {
    await closeClients();
    return transport;
  }
  const tasks: HostTasks = createHostTasks(context, transport.value);
  addGauges(context.metrics, tasks);
  tasks.start();

  function isReady(): boolean {
    return (
      tasks.configuration.tryGetSettings() !== undefined &&
      tasks.membership.view().joined &&
      tasks.schedulers.getSummaries().every(({ summary }) => !summary.isHandingOver) &&
      !admission.isStopping()
    );
  }

  async function close(): Promise<void> {
    await tasks.close();
    await closeClients();
  }

  let stopped: Promise<void> | undefined;

  async function stop(callers: CallerListener, peers: HostTransport): Promise<void> {
    tasks.membership.handle({ kind: 'leavingChanged', leaving: true });
    await drainCallers({ ...context, gracePeriod: options.gracePeriod, callers });
    await tasks.orders.flush(FLUSH_TIMEOUT_MS);
    callers.forceClose();
    tasks.membership.close();
    await peers.close();
    await close();
  }

  const listener = await listenForCallers(
    createCallerApplication({
      services: tasks.services,
      administration: createAdministrationServices(context, tasks, transport.value),
      isReady,
    }),
    settings.callerAddress,
    { ...listening, ...context, memory, ...connectionLimits },
  );
  if (listener.kind === 'error') {
    tasks.membership.close();
    await transport.value.close();
    await close();
    return listener;
  }

  return ok({
    callerAddress: listener.value.address,
    peerAddress: transport.value.address,
    incarnation,
    logger: context.logger,
    recordError,
    isReady,
    stop() {
      stopped ??= stop(listener.value, transport.value);
      return stopped;
    },
    async kill() {
      tasks.membership.kill();
      listener.value.forceClose();
      await transport.value.close();
      await close();
    },
  });
}
