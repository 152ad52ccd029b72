import type { BackendServerId, Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { Listening, ServerConnections } from '../servers/types';
import type { ListedServer } from '../types';
import type { ServerPaths } from './types';

/** Time between two checks of whether a path that was cut leads to its server again. */
const RECHECK_INTERVAL: Milliseconds = 1_000;
/** Time for which a server counts as down after nobody could connect to it. */
const DOWN_TIME: Milliseconds = 500;
/** Time for a connection of this host's own; a server that is in reach accepts within milliseconds. */
const OWN_CONNECT_TIMEOUT: Milliseconds = 200;
/** A server that has answered this host so lately need not be checked. */
const REACHED_TIME: Milliseconds = 1_000;

interface ServerPathsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly direct: Pick<ServerConnections, 'checkListening' | 'renew'>;
  /** Asks peers whether a server listens; calls back with the best answer. */
  readonly checkByPeers: (server: ListedServer, onChecked: (listening: Listening) => void) => void;
}

interface PathState {
  server: ListedServer;
  isCut: boolean;
  isChecking: boolean;
  reachedAt: Milliseconds;
  downUntil: Milliseconds;
}

function isSameProcess(left: ListedServer, right: ListedServer): boolean {
  return left.address === right.address && left.startedAt === right.startedAt;
}

/**
 * Finds out which servers this host cannot reach although its peers can. A server that is only slow,
 * silent, full or down is reached by no one better, and so never counts as cut off.
 */
export default function createServerPaths(options: ServerPathsOptions): ServerPaths {
  const { clock, logger, direct } = options;
  const states = new Map<BackendServerId, PathState>();
  let recheckTimer: Timer | undefined;
  let isStopped = false;

  function getState(server: ListedServer): PathState {
    let state = states.get(server.id);
    if (state === undefined || !isSameProcess(state.server, server)) {
      const never = -Infinity;
      state = { server, isCut: false, isChecking: false, reachedAt: never, downUntil: never };
      states.set(server.id, state);
    }
    return state;
  }

  function listCut(): readonly PathState[] {
    return [...states.values()].filter(({ isCut }) => isCut);
  }

  /** Checks all servers that have not answered lately: what is cut is seldom one path alone. */
  function checkOthers(): void {
    [...states.values()].forEach(({ server }) => checkPath(server));
  }

  function recordCut(server: ListedServer): void {
    const state = getState(server);
    if (state.isCut || isStopped) {
      return;
    }
    state.isCut = true;
    logger.warn({ server: server.id, cut: listCut().length }, 'path to server cut');
    scheduleRecheck();
    checkOthers();
  }

  function recordReturned(state: PathState): void {
    state.isCut = false;
    // The connections from before may be dead without a sign.
    direct.renew(state.server);
    logger.info({ server: state.server.id, cut: listCut().length }, 'path to server restored');
  }

  function scheduleRecheck(): void {
    recheckTimer ??= clock.after(RECHECK_INTERVAL, () => {
      recheckTimer = undefined;
      if (isStopped) {
        return;
      }
      listCut().forEach((state) =>
        direct.checkListening(state.server, (listening) => {
          if (listening === 'accepting' && state.isCut) {
            recordReturned(state);
          }
        }),
      );
      if (listCut().length > 0) {
        scheduleRecheck();
      }
    });
  }

  /** Checks this host's own path within a short time; calls back once. */
  function checkOwnPath(server: ListedServer, onChecked: (listening: Listening) => void): void {
    let isDone = false;
    const finish = (listening: Listening): void => {
      if (!isDone) {
        isDone = true;
        timer.cancel();
        onChecked(listening);
      }
    };
    const timer = clock.after(OWN_CONNECT_TIMEOUT, () => finish('unreachable'));
    direct.checkListening(server, finish);
  }

  function check(server: ListedServer, onChecked: (listening: Listening) => void): void {
    checkOwnPath(server, (listening) => {
      if (listening === 'accepting') {
        onChecked(listening);
        return;
      }
      options.checkByPeers(server, (byPeers) => {
        if (byPeers === 'accepting') {
          recordCut(server);
          onChecked('unreachable');
        } else {
          // What a cut path shows says nothing of its server.
          onChecked(getState(server).isCut ? byPeers : listening);
        }
      });
    });
  }

  function checkPath(server: ListedServer): void {
    const state = getState(server);
    const isReached = clock.now() - state.reachedAt <= REACHED_TIME;
    if (state.isCut || state.isChecking || isReached) {
      return;
    }
    state.isChecking = true;
    check(server, () => {
      state.isChecking = false;
    });
  }

  return {
    isCut: (server) => getState(server).isCut,
    recordReached(server) {
      getState(server).reachedAt = clock.now();
    },
    recordCut,
    recordSilent: checkPath,
    isDown: (server) => getState(server).downUntil > clock.now(),
    recordDown(server) {
      getState(server).downUntil = clock.now() + DOWN_TIME;
    },
    check,
    retainServers(servers) {
      const listed = new Map(servers.map((server) => [server.id, server]));
      [...states.keys()].filter((id) => !listed.has(id)).forEach((id) => states.delete(id));
      servers.forEach((server) => {
        getState(server).server = server;
      });
    },
    countCut: () => listCut().length,
    stop() {
      isStopped = true;
      recheckTimer?.cancel();
    },
  };
}
