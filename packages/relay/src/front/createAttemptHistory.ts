import type { BackendServerId } from '@rattanreel/core';
import type { AttemptOutcome, Route } from '../types';

/** Failed connection attempts, none of which wrote a byte, before a request is refused. */
const MAXIMUM_CONNECT_FAILURES = 4;

interface AttemptHistory {
  readonly triedServers: ReadonlySet<BackendServerId>;
  /** Records an attempt that begins; returns its number, counted from 1. */
  begin(server: BackendServerId): number;
  end(outcome: AttemptOutcome): void;
  /** Whether an attempt that ended may have run. */
  mayHaveRun(): boolean;
  getRemaining(): { readonly hasAttemptsLeft: boolean; readonly hasConnectAttemptsLeft: boolean };
}

/** Counts the attempts of one request. An attempt that was never sent does not count. */
export default function createAttemptHistory(route: Route): AttemptHistory {
  const triedServers = new Set<BackendServerId>();
  let sent = 0;
  let connectFailures = 0;
  let isPossiblyRun = false;

  return {
    triedServers,
    begin(server) {
      triedServers.add(server);
      sent += 1;
      return sent;
    },
    end({ kind }) {
      if (kind === 'notConnected') {
        sent -= 1;
        connectFailures += 1;
      } else if (kind === 'notSent') {
        sent -= 1;
      } else if (kind !== 'notRun') {
        isPossiblyRun = true;
      }
    },
    mayHaveRun: () => isPossiblyRun,
    getRemaining: () => ({
      hasAttemptsLeft: sent < route.maximumAttempts,
      hasConnectAttemptsLeft: connectFailures < MAXIMUM_CONNECT_FAILURES,
    }),
  };
}
