import type { MoveVeto } from './types';

/** Returns a veto's reason as one line for the log. */
export default function describeVeto({ reason }: MoveVeto): string {
  const { ground, route, tier, failureDomain, detail } = reason;
  return `${ground} in ${failureDomain}, route ${route}, tier ${tier}: ${detail}`;
}
