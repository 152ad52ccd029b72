import type { SkippedBackendServer } from '@rattanreel/observability';
import type {
  EngineOrder,
  SkipReason,
  PlacedServer,
  PlannedEngineOrder,
  ServerSelectionOptions,
} from './types';

interface ServerSelection extends ServerSelectionOptions {
  readonly wantedServers: number;
  readonly order: EngineOrder;
  readonly reason: string;
  readonly isServing: (server: PlacedServer) => boolean;
  /** Returns why a server that does not serve yet cannot be chosen; undefined when it can. */
  readonly tryGetExclusionReason: (server: PlacedServer) => SkipReason | undefined;
}

function tryGetSkipReason(
  server: PlacedServer,
  selection: ServerSelection,
): SkipReason | undefined {
  if (server.drained) {
    return 'drained';
  }
  if (server.leaving) {
    return 'leaving';
  }
  if (!server.ready) {
    return 'notReady';
  }
  if (selection.isServing(server)) {
    return 'alreadyServes';
  }
  return selection.isBusy(server) ? 'orderUnderWay' : selection.tryGetExclusionReason(server);
}

/** Plans an order at the ready server with the fewest running requests, if too few servers have executed the order. */
export default function planOnLeastBusyServer(
  options: ServerSelection,
): readonly PlannedEngineOrder[] {
  const serving = options.servers.filter(
    (server) => options.isServing(server) && !server.leaving && !server.drained,
  );
  if (serving.length >= options.wantedServers) {
    return [];
  }
  const candidates = options.servers.map((server) => ({
    server,
    reason: tryGetSkipReason(server, options),
  }));
  const eligible = candidates
    .filter(({ reason }) => reason === undefined)
    .sort((left, right) => left.server.running - right.server.running);
  const chosen = eligible[0]?.server;
  if (chosen === undefined) {
    return [];
  }
  const alternatives: SkippedBackendServer[] = candidates
    .filter(({ server }) => server !== chosen)
    .map(({ server, reason }) => ({
      backendServer: server.backendServer,
      reason: reason ?? 'worseChoice',
    }));
  const { order, reason } = options;
  const { backendServer, pool } = chosen;
  return [{ backendServer, pool, order, reason, alternatives }];
}
