import { parentPort, workerData } from 'node:worker_threads';
import { Debug } from '@rattanreel/core';
import { createEngineStandIn } from '@rattanreel/stand-in-engine';
import { createPlatformStandIn } from '@rattanreel/stand-in-platform';
import type { StandInAddresses, StandInOptions } from './types';

/** Worker thread of the stand-ins: the platform and one engine with little latency of its own. */
const port = Debug.checkDefined(parentPort, 'parent port');
const { seed, memoryTokens, maximumStreams } = workerData as StandInOptions;

const platform = await createPlatformStandIn({});
const engine = await createEngineStandIn({
  id: 'engine',
  version: 'v1',
  seed,
  hardware: {
    iterationMilliseconds: 2,
    decodeMillisecondsPerStream: 0,
    contextMillisecondsPerToken: 0,
    prefillMillisecondsPerToken: 0,
    prefillTokensPerIteration: memoryTokens,
    memoryTokens,
    maximumStreams,
  },
});
const addresses: StandInAddresses = { platform: platform.url, engine: engine.address };
port.postMessage(addresses);
