import type { SoakBounds } from './types';

/** Bounds of the users' requirements for smaller deployments. */
const soakBounds: SoakBounds = {
  drain: 2_000,
  evacuate: 5_000,
  apply: 2_000,
  stabilityWindow: 3_000,
  recover: 12_000,
  timeout: 1_500,
  chatTimeout: 10_000,
  grace: 8_000,
  lostSlack: 200,
};

export default soakBounds;
