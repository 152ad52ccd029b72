/** Placement as one entry host takes part in it. */
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

/** Orders engines of this failure domain while this entry host, a delegate, holds the placement lease. */
export interface PlacementTask {
  /** Follows whether this entry host is a delegate; called several times a second. */
  update(isDelegate: boolean, incarnation: Incarnation): void;
  close(): Promise<void>;
}

/** The backend servers of a failure domain as their own reports show them. */
export interface ServerPoller {
  /** Asks every model engine for its state; those that do not answer are left out. */
  poll(view: SettingsView): Promise<readonly PlacedServer[]>;
  tryGetAddress(backendServer: BackendServerId): string | undefined;
}
