import type {
  BackendServerId,
  Clock,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Random,
} from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { Attempt, AttemptRequest, AttemptSink, ServerConnections } from '../servers/types';
import isWithheldServer from '../decisions/isWithheldServer';
import type { ServerEmbargo } from '../decisions/types';
import type { AttemptOutcome, ListedServer, PeerAddress } from '../types';
import toUnsentOutcome from '../lateness/toUnsentOutcome';
import checkByPeers from './checkByPeers';
import createForwarderList from './createForwarderList';
import createServerPaths from './createServerPaths';
import forwardAttempt from './forwardAttempt';
import type { ForwardingConnections, ForwardingLink } from './types';

/** Time without a response after which the path to a server is checked. */
const SILENCE: Milliseconds = 1_000;
/** A connection that fails so soon was refused, which leaves time to ask peers. */
const QUICK_FAILURE: Milliseconds = 150;

interface ForwardingConnectionsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  /** This host's own links. */
  readonly direct: ServerConnections;
  readonly getLink: () => ForwardingLink;
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
}

/**
 * Sends attempts on this host's own links, and lets a peer send those to servers that only peers
 * reach. Whichever host sends it, an attempt stays one attempt of the host that took the request.
 */
export default function createForwardingConnections(
  options: ForwardingConnectionsOptions,
): ForwardingConnections {
  const { clock, logger, random, direct, getLink } = options;
  let listed: ReadonlyMap<BackendServerId, ListedServer> = new Map();
  const perform: ForwardingLink['perform'] = (...task) => getLink().perform(...task);
  const listPeers = (): readonly PeerAddress[] => getLink().listPeers();
  const listLatePeers = (): ReadonlySet<EntryHostId> => getLink().listLatePeers();
  const forwarders = createForwarderList({ clock, random, listPeers, listLatePeers });
  const paths = createServerPaths({
    clock,
    logger,
    direct,
    checkByPeers: (server, onChecked) => checkByPeers({ server, forwarders, perform, onChecked }),
  });

  function isWithheld(server: ListedServer): boolean {
    const evacuated = options.getEvacuated();
    return isWithheldServer(server, { ...options, now: clock.now(), listed, evacuated });
  }

  function sendByPeer(server: ListedServer, request: AttemptRequest, sink: AttemptSink): Attempt {
    return forwardAttempt({
      clock,
      peers: paths.isDown(server) ? [] : forwarders.choose(),
      server,
      request,
      sink,
      forwarders,
      perform,
      isWithheld: () => isWithheld(server),
      onReached({ entryHost }) {
        const { requestId } = request;
        logger.info(
          { request: requestId, server: server.id, peer: entryHost },
          'attempt forwarded',
        );
        paths.recordCut(server);
      },
      onUnreached: () => paths.recordDown(server),
    });
  }

  /**
   * Sends an attempt on this host's own link. If no connection is established, a peer sends it,
   * provided that peers reach the server.
   */
  function sendDirectly(server: ListedServer, request: AttemptRequest, sink: AttemptSink): Attempt {
    const startedAt = clock.now();
    const silenceTimer = clock.after(SILENCE, () => paths.recordSilent(server));
    let forwarded: Attempt | undefined;
    let isEnded = false;
    /** Whether no connection was established, and the attempt waits for the check of the path. */
    let isUnconnected = false;

    function end(outcome: AttemptOutcome): void {
      if (!isEnded) {
        isEnded = true;
        sink.onEnd(outcome);
      }
    }

    function handleUnconnected(): void {
      if (isEnded) {
        return;
      }
      if (paths.isCut(server)) {
        forwarded = sendByPeer(server, request, sink);
      } else {
        end({ kind: 'notConnected' });
      }
    }

    const attempt = direct.send(server, request, {
      onHead(head) {
        silenceTimer.cancel();
        paths.recordReached(server);
        sink.onHead(head);
      },
      onData: sink.onData,
      onEnd(outcome) {
        silenceTimer.cancel();
        isUnconnected = outcome.kind === 'notConnected';
        if (!isUnconnected) {
          end(outcome);
        } else if (clock.now() - startedAt < QUICK_FAILURE && !paths.isDown(server)) {
          paths.check(server, (listening) => {
            if (listening === 'refused') {
              paths.recordDown(server);
            }
            handleUnconnected();
          });
        } else {
          paths.recordSilent(server);
          handleUnconnected();
        }
      },
    });
    return {
      abort(reason) {
        if (forwarded !== undefined) {
          forwarded.abort(reason);
          return;
        }
        attempt.abort(reason);
        end(isUnconnected ? toUnsentOutcome(reason) : { kind: 'aborted', reason });
      },
      resume: () => (forwarded ?? attempt).resume(),
    };
  }

  return {
    send: (server, request, sink) =>
      paths.isCut(server) ? sendByPeer(server, request, sink) : sendDirectly(server, request, sink),
    checkListening: paths.check,
    renew: direct.renew,
    retainServers(servers) {
      listed = servers;
      paths.retainServers([...servers.values()]);
      direct.retainServers(servers);
    },
    isCut: paths.isCut,
    isWithheld,
    countCut: paths.countCut,
    async close() {
      paths.stop();
      await direct.close();
    },
  };
}
