import type { MembershipPolicy } from './types';

/** Suspects a member after about one second and declares it dead after about two. */
const defaultMembershipPolicy: MembershipPolicy = {
  heartbeatInterval: 250,
  watchers: 3,
  accuseAfter: 1_000,
  deadAfter: 1_000,
  reportInterval: 1_000,
  summaryInterval: 500,
  summaryIntervalPerDomain: 125,
  relayInterval: 5_000,
  joinInterval: 1_000,
  joinTimeout: 1_000,
  forgetAfter: 3_600_000,
};

export default defaultMembershipPolicy;
