import { createRandom } from '@rattanreel/core';
import type { Milliseconds, VirtualClock } from '@rattanreel/core';
import { createEngineModel, getHardware } from '@rattanreel/stand-in-engine-model';
import type { EngineHardware } from '@rattanreel/stand-in-engine-model';
import getOrderBookHardware from '../deployment/getOrderBookHardware';
import type { DeploymentProfile, FailureDomainProfile, PoolName, SimulatedEngine } from '../types';

interface EnginesOptions {
  readonly deployment: DeploymentProfile;
  readonly clock: VirtualClock;
  readonly seed: number;
  readonly reportLag: Milliseconds;
}

const VERSION = 'v1';

interface EngineDescription {
  readonly id: string;
  readonly pool: PoolName;
  readonly failureDomain: string;
  readonly hardwareName: string;
  readonly hardware: EngineHardware;
}

function describeDomainEngines(domain: FailureDomainProfile): EngineDescription[] {
  const engines = domain.engines.map((generation, index) => ({
    id: `${domain.id}-engine-${index}`,
    pool: 'drafts' as const,
    failureDomain: domain.id,
    hardwareName: generation,
    hardware: getHardware(generation),
  }));
  const orderBooks = Array.from({ length: domain.orderBooks }, (_, index) => ({
    id: `${domain.id}-order-book-${index}`,
    pool: 'orders' as const,
    failureDomain: domain.id,
    hardwareName: 'order-book',
    hardware: getOrderBookHardware(),
  }));
  return [...engines, ...orderBooks];
}

/**
 * Creates the backend servers of a deployment, all warm and idle; model engines come first in each
 * failure domain.
 */
export default function createEngines(options: EnginesOptions): readonly SimulatedEngine[] {
  const { clock, reportLag } = options;
  return options.deployment.failureDomains
    .flatMap(describeDomainEngines)
    .map((description, index) => {
      const { id, pool, failureDomain, hardware, hardwareName } = description;
      return {
        id,
        pool,
        failureDomain,
        reachable: true,
        settings: {
          id,
          hardware: hardwareName,
          version: VERSION,
          memoryTokens: hardware.memoryTokens,
          maximumStreams: hardware.maximumStreams,
          drained: false,
        },
        model: createEngineModel({
          id,
          clock,
          random: createRandom(options.seed + index),
          hardware,
          version: VERSION,
          reportLag,
        }),
      };
    });
}
