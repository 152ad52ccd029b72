/** Types of one entry host's part in placement. */
import type {
  BackendServerId,
  Clock,
  FailureDomainId,
  Incarnation,
  PoolId,
  Random,
} from '@rattanreel/core';
import type { EngineClient } from '@rattanreel/dispatch';
import type { StoredMove } from '@rattanreel/moves';
import type { DecisionLog } from '@rattanreel/observability';
import type { PlacedServer } from '@rattanreel/placement';
import type { ObjectStore } from '@rattanreel/platform';
import type { SettingsView } from '../types';

export interface PlacementTaskOptions {
  readonly failureDomain: FailureDomainId;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly engineClient: EngineClient;
  readonly decisions: DecisionLog;
  readonly tryGetSettings: () => SettingsView | undefined;
  readonly tryGetMove: (pool: PoolId) => StoredMove | undefined;
}

/** Sends orders to this failure domain's engines while this delegate holds the placement lease. */
export interface PlacementTask {
  /** Starts when this host becomes a delegate, stops otherwise; called several times a second. */
  update(isDelegate: boolean, incarnation: Incarnation): void;
  close(): Promise<void>;
}

/** Polls the model engines of a failure domain. */
export interface ServerPoller {
  /** Returns the state of every model engine; those that do not answer are left out. */
  poll(view: SettingsView): Promise<readonly PlacedServer[]>;
  tryGetAddress(backendServer: BackendServerId): string | undefined;
}
