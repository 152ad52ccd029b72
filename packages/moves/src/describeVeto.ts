import type { MoveVeto } from './types';

/** A veto's reason in one line, for the log. */
export default function describeVeto({ reason }: MoveVeto): string {
  const { ground, route, tier, failureDomain, detail } = reason;
  return `${ground} in ${failureDomain}, route ${route}, tier ${tier}: ${detail}`;
}
