import { createLease } from '@rattanreel/platform';
import type { TimedLease } from '@rattanreel/platform';
import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import type { RelayContext } from '../types';
import type { DutyHolding, DutyStore } from './types';

const LEASE_NAME = 'duties';
/** Generations below one era in the token; acquiring a lease takes a second at least. */
const GENERATIONS_PER_ERA = 2 ** 24;

interface DutyLeaseOptions {
  readonly context: RelayContext;
  readonly store: DutyStore;
  readonly duration: Milliseconds;
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Longest time of a call, after which a call of the last holder no longer arrives. */
  readonly callTimeout: Milliseconds;
  readonly getEra: (version: number) => number;
  readonly getKnownEra: () => number | undefined;
}

interface DutyLease {
  /** Begins or ends to try to acquire the lease. */
  setCandidate(isCandidate: boolean): void;
  tryGetHolding(): DutyHolding | undefined;
  stop(): Promise<void>;
}

/**
 * Holds the lease of all duties and subjects while this host is a candidate. Handles loss, pause
 * and partition of the holder, and a store that returns from an older copy. It is not released: a
 * host that takes it over has waited its whole duration, so holders never alternate within it.
 */
export default function createDutyLease(options: DutyLeaseOptions): DutyLease {
  const { context, entryHost, incarnation } = options;
  const { logger } = context;
  let lease: TimedLease | undefined;

  function tryGetHolding(): DutyHolding | undefined {
    const holding = lease?.tryGetHolding();
    return holding === undefined
      ? undefined
      : {
          token: holding.era * GENERATIONS_PER_ERA + holding.generation,
          era: holding.era,
          renewedAt: holding.renewedAt,
          actsFrom: holding.acquiredAt + options.callTimeout,
          expiresAt: holding.expiresAt,
          wallExpiresAt: holding.wallExpiresAt,
        };
  }

  async function endLease(): Promise<void> {
    const last = lease;
    lease = undefined;
    await last?.stop();
  }

  return {
    setCandidate(isCandidate) {
      if (isCandidate === (lease !== undefined)) {
        return;
      }
      logger.info({ isCandidate }, 'duty candidate changed');
      if (!isCandidate) {
        void endLease();
        return;
      }
      lease = createLease({
        ...context,
        ...options,
        name: LEASE_NAME,
        holder: `${entryHost} ${incarnation}`,
        isReleasedOnStop: false,
        onChange: (state) =>
          logger.info(
            { state: state.kind, holder: entryHost, token: tryGetHolding()?.token },
            'duty lease changed',
          ),
      });
    },
    tryGetHolding,
    stop: endLease,
  };
}
