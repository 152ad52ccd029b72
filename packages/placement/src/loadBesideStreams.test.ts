import { describe, it } from 'node:test';
import { expect } from 'earl';
import getPlacementPolicy from './getPlacementPolicy';
import planVersionLoads from './planVersionLoads';
import type { PlacedServer, VersionDemand } from './types';

function createServer(backendServer: string, server: Partial<PlacedServer> = {}): PlacedServer {
  return {
    backendServer,
    pool: 'pool',
    checksFencing: true,
    throughput: 10,
    version: '1',
    incarnation: 'a',
    ready: true,
    cold: false,
    leaving: false,
    drained: false,
    role: '',
    running: 0,
    ...server,
  };
}

function createDemand(version: string, work: number): VersionDemand {
  return { pool: 'pool', version, work, carriesTraffic: work > 0 };
}

interface LoadCase {
  readonly name: string;
  readonly servers: readonly PlacedServer[];
  readonly oldWork: number;
  readonly loads: readonly string[];
  /** Listed in KNOWN-RED.txt. */
  readonly isRed?: boolean;
}

const cases: readonly LoadCase[] = [
  {
    name: 'an idle server before one with streams',
    servers: [createServer('a', { running: 3 }), createServer('b')],
    oldWork: 1,
    loads: ['b'],
  },
  {
    name: 'none while streams of the last version run on all',
    servers: [createServer('a', { running: 3 }), createServer('b', { running: 1 })],
    oldWork: 0,
    loads: [],
    isRed: true,
  },
  {
    name: 'none while streams of a version in use run on all',
    servers: [createServer('a', { running: 3 }), createServer('b', { running: 1 })],
    oldWork: 1,
    loads: [],
    isRed: true,
  },
];

describe('the load of another version', () => {
  cases.forEach(({ name, servers, oldWork, loads, isRed = false }) => {
    // Guards against a load that cuts the streams which its server runs.
    it(`is ordered at ${name}`, { todo: isRed }, () => {
      const orders = planVersionLoads({
        servers,
        demands: [createDemand('1', oldWork), createDemand('2', 1)],
        isBusy: () => false,
        policy: getPlacementPolicy({}),
      });
      expect(orders.map(({ backendServer }) => backendServer)).toEqual([...loads]);
    });
  });
});
