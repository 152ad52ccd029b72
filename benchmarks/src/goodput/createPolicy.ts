import { Debug } from '@rattanreel/core';
import type { Policy, PolicyName, World } from './types';
import chooseRoundRobin from './policies/chooseRoundRobin';
import chooseLeastLoaded from './policies/chooseLeastLoaded';
import createBaselinePolicy from './policies/createBaselinePolicy';
import createRattanreelPolicy from './policies/rattanreel/createRattanreelPolicy';

/** Creates the policy called `name` for `world`. */
export default function createPolicy(name: PolicyName, world: World, seed: number): Policy {
  switch (name) {
    case 'rattanreel':
      return createRattanreelPolicy({ world, seed });
    case 'roundRobin':
      return createBaselinePolicy({ world, seed, choose: chooseRoundRobin });
    case 'leastReported':
      return createBaselinePolicy({
        world,
        seed,
        choose: (views, _turn, random) =>
          chooseLeastLoaded(views, random, ({ reported }) => reported),
      });
    case 'leastInFlight':
      return createBaselinePolicy({
        world,
        seed,
        choose: (views, _turn, random) =>
          chooseLeastLoaded(views, random, ({ ownInFlight }) => ownInFlight),
      });
    default:
      return Debug.assertNever(name);
  }
}
