import type { Clock, Milliseconds } from '@rattanreel/core';
import type { AttemptSink, Listening } from '../servers/types';
import type { AttemptOutcome, ListedServer } from '../types';
import type { EngineCut, TestHost } from './types';

const REFUSAL_DELAY: Milliseconds = 2;
/** Time after which a connection that is not established is given up. */
const CONNECT_TIMEOUT: Milliseconds = 400;
/** Idle connections are closed after this time. */
const IDLE_TIME: Milliseconds = 4_000;

interface OpenPath {
  readonly host: TestHost;
  breakOff(reason: string): void;
}

interface TestPath {
  /** Receives what the engine sends, as long as the path lets it through. */
  readonly sink: AttemptSink;
  /** Whether the request reaches the engine. */
  isConnected(): boolean;
  recordAborted(): void;
}

/** Carries requests between hosts and engines on connections that may be kept, hang or be refused. */
export default function createTestPaths(clock: Clock) {
  const cuts = new Map<TestHost, EngineCut>();
  const openPaths = new Set<OpenPath>();
  /** A failure domain that is cut off from the others; undefined if there is none. */
  let partitionedDomain: string | undefined;
  /** When the idle connections of a host to a server are closed. */
  const idleUntil = new Map<string, Milliseconds[]>();

  function tryTakeIdle(key: string): boolean {
    const open = (idleUntil.get(key) ?? []).filter((until) => until > clock.now());
    const isKept = open.pop() !== undefined;
    idleUntil.set(key, open);
    return isKept;
  }

  function getCut(host: TestHost, { failureDomain }: ListedServer): EngineCut | undefined {
    const isSeparated =
      partitionedDomain !== undefined &&
      (host.domain === partitionedDomain) !== (failureDomain === partitionedDomain);
    return isSeparated ? 'hang' : cuts.get(host);
  }

  return {
    /** Cuts a failure domain off from the engines and hosts of the others; undefined ends that. */
    partition(domain: string | undefined): void {
      partitionedDomain = domain;
    },
    open(host: TestHost, server: ListedServer, sink: AttemptSink): TestPath {
      const key = `${host.name} ${server.id}`;
      const cut = getCut(host, server);
      const isKept = tryTakeIdle(key);
      const isRefused = cut === 'reset' || (cut === 'refuseNew' && !isKept);
      const isUnconnected = isRefused || (cut === 'hang' && !isKept);
      let isEnded = false;
      const canPass = (): boolean => getCut(host, server) !== 'hang';

      function end(outcome: AttemptOutcome): void {
        if (!isEnded) {
          isEnded = true;
          openPaths.delete(path);
          sink.onEnd(outcome);
        }
      }

      const path: OpenPath = { host, breakOff: (reason) => end({ kind: 'broken', reason }) };
      openPaths.add(path);
      if (isUnconnected) {
        clock.after(isRefused ? REFUSAL_DELAY : CONNECT_TIMEOUT, () =>
          end({ kind: 'notConnected' }),
        );
      }
      return {
        sink: {
          onHead(head) {
            if (canPass() && !isEnded) {
              sink.onHead(head);
            }
          },
          onData: (chunk) => (canPass() && !isEnded ? sink.onData(chunk) : true),
          onEnd(outcome) {
            if (outcome.kind === 'whole') {
              idleUntil.set(key, [...(idleUntil.get(key) ?? []), clock.now() + IDLE_TIME]);
            }
            if (canPass() || outcome.kind === 'aborted') {
              end(outcome);
            }
          },
        },
        isConnected: () => !isUnconnected && canPass(),
        recordAborted: () => openPaths.delete(path),
      };
    },
    /** Forgets the idle connections of a host to a server. */
    renew: (host: TestHost, server: ListedServer) => idleUntil.delete(`${host.name} ${server.id}`),
    /** Checks a path; calls back with undefined if it leads to the engine. */
    check(
      host: TestHost,
      server: ListedServer,
      onChecked: (listening: Listening | undefined) => void,
    ): void {
      const cut = getCut(host, server);
      if (cut === 'hang') {
        clock.after(CONNECT_TIMEOUT, () => onChecked('unreachable'));
      } else {
        clock.after(REFUSAL_DELAY, () => onChecked(cut === undefined ? undefined : 'refused'));
      }
    },
    cut(hosts: readonly TestHost[], how: EngineCut | undefined): void {
      hosts.forEach((host) => {
        if (how === undefined) {
          cuts.delete(host);
        } else {
          cuts.set(host, how);
        }
        if (how === 'reset') {
          [...openPaths]
            .filter((path) => path.host === host)
            .forEach((path) => path.breakOff('ECONNRESET'));
          [...idleUntil.keys()]
            .filter((key) => key.startsWith(`${host.name} `))
            .forEach((key) => idleUntil.delete(key));
        }
      });
    },
  };
}
