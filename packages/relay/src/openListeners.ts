import type { ConnectionLimits, ListenError } from '@rattanreel/connections';
import { ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { listenForPeers } from '@rattanreel/transport';
import type { PeerListener } from '@rattanreel/transport';
import createMetricsEndpoint from './createMetricsEndpoint';
import createReadinessEndpoint from './createReadinessEndpoint';
import type { CheckIntake } from './types';

type MetricsOptions = Parameters<typeof createMetricsEndpoint>[0];
type ReadinessOptions = Parameters<typeof createReadinessEndpoint>[0];

interface ListenersOptions
  extends Omit<MetricsOptions, 'address' | 'intake'>, Omit<ReadinessOptions, 'address' | 'intake'> {
  /** Listening addresses as HOST:PORT. */
  readonly metricsAddress: string;
  readonly readinessAddress: string;
  readonly peerAddress: string;
  readonly intake: Omit<CheckIntake, 'maximumConnections'>;
  readonly connectionLimits: ConnectionLimits;
}

interface Listeners {
  readonly peerListener: PeerListener;
  closeChecks(): void;
}

/**
 * Serves metrics and readiness checks, and then listens for peers: waits for the address of the peers
 * only. The checks begin first, since they tell why the other endpoints do not listen.
 */
export default async function openListeners(
  options: ListenersOptions,
): Promise<Outcome<Listeners, ListenError>> {
  const { connectionLimits } = options;
  const intake = { ...options.intake, maximumConnections: connectionLimits.checks };
  const checks = { ...options, intake };
  const closeMetrics = createMetricsEndpoint({ ...checks, address: options.metricsAddress });
  const closeReadiness = createReadinessEndpoint({ ...checks, address: options.readinessAddress });
  function closeChecks(): void {
    closeReadiness();
    closeMetrics();
  }
  const peerListener = await listenForPeers(options.peerAddress, {
    ...options.listening,
    maximumConnections: connectionLimits.peers,
    backlog: connectionLimits.backlog,
  });
  if (peerListener.kind === 'error') {
    closeChecks();
    return peerListener;
  }
  return ok({ peerListener: peerListener.value, closeChecks });
}
