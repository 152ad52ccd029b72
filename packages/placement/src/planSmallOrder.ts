import type { PassedOver } from '@rattanreel/observability';
import type {
  EngineOrder,
  PassOverReason,
  PlacedServer,
  PlannedOrder,
  SmallOrderOptions,
} from './types';

interface SmallOrderSearch extends SmallOrderOptions {
  readonly wanted: number;
  readonly order: EngineOrder;
  readonly reason: string;
  readonly serves: (server: PlacedServer) => boolean;
  /** Why a server that does not serve yet cannot be taken. */
  readonly tryGetUnfitness: (server: PlacedServer) => PassOverReason | undefined;
}

function tryGetReason(server: PlacedServer, search: SmallOrderSearch): PassOverReason | undefined {
  if (server.drained) {
    return 'drained';
  }
  if (server.leaving) {
    return 'leaving';
  }
  if (!server.ready) {
    return 'notReady';
  }
  if (search.serves(server)) {
    return 'alreadyServes';
  }
  return search.isBusy(server) ? 'orderUnderWay' : search.tryGetUnfitness(server);
}

/** Finds the ready server with the least work in hand for an order that too few servers have followed. */
export default function planSmallOrder(options: SmallOrderSearch): readonly PlannedOrder[] {
  const serving = options.servers.filter(
    (server) => options.serves(server) && !server.leaving && !server.drained,
  );
  if (serving.length >= options.wanted) {
    return [];
  }
  const judged = options.servers.map((server) => ({
    server,
    reason: tryGetReason(server, options),
  }));
  const eligible = judged
    .filter(({ reason }) => reason === undefined)
    .sort((left, right) => left.server.running - right.server.running);
  const chosen = eligible[0]?.server;
  if (chosen === undefined) {
    return [];
  }
  const alternatives: PassedOver[] = judged
    .filter(({ server }) => server !== chosen)
    .map(({ server, reason }) => ({
      backendServer: server.backendServer,
      reason: reason ?? 'worseChoice',
    }));
  const { order, reason } = options;
  const { backendServer, pool } = chosen;
  return [{ backendServer, pool, order, reason, alternatives }];
}
