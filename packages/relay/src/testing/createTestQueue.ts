import { createRandom } from '@rattanreel/core';
import type { Clock } from '@rattanreel/core';
import createShareTerms from '../fairness/createShareTerms';
import createPoolQueue from '../pools/createPoolQueue';
import createPoolAverages from '../pools/createPoolAverages';
import createServerStateMap from '../pools/createServerStateMap';
import type { PoolQueue } from '../pools/types';
import createServerSpeeds from '../speed/createServerSpeeds';
import type { RelayCustomer } from '../types';
import createTestServer from './createTestServer';

interface TestQueueOptions {
  readonly clock: Clock;
  readonly servers: number;
  /** Requests that each server runs at once. */
  readonly slots: number;
  readonly customers?: readonly RelayCustomer[];
  /** Called each time that a server is examined for a decision. */
  readonly onExamined?: () => void;
}

/**
 * Creates the queue of a pool at a host without peers; its servers are all in the same domain, warm
 * and equally fast.
 */
export default function createTestQueue(options: TestQueueOptions): PoolQueue {
  const { clock, servers, slots, onExamined = () => undefined } = options;
  const terms = createShareTerms(options.customers);
  const serverStates = createServerStateMap();
  serverStates.replaceServers(
    Array.from(
      { length: servers },
      (_, index) => createTestServer({ id: `s${index}`, slots }).listed,
    ),
    0,
  );
  return createPoolQueue({
    clock,
    random: createRandom(3),
    ownDomain: 'near',
    serverStates,
    averages: createPoolAverages(),
    getEvacuated: () => new Set(),
    embargo: {
      isEmbargoed() {
        onExamined();
        return false;
      },
    },
    getSettings: () => undefined,
    onInFlightChange: () => undefined,
    getColdRequestInterval: () => 0,
    getPacing: () => undefined,
    getOwnSlots: () => undefined,
    getShareTerms: () => terms,
    rollouts: {
      getUse: () => 'free',
      isPreferred: () => false,
      mayTry: () => true,
      recordGrant: () => undefined,
      recordAttempt: () => undefined,
    },
    speeds: createServerSpeeds(),
    bounds: {
      retryRatio: 0.2,
      retryWindow: 10_000,
      retrySlack: 50,
      quotaSlack: 0,
      exposeShare: 0.1,
      exposeSlack: 50,
      coldFactor: 1,
      coldSlack: 0,
      shutdownGracePeriod: 8_000,
    },
  });
}
