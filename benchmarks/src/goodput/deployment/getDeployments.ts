import type { DeploymentProfile, TierProfile } from '../types';

const TIERS: readonly TierProfile[] = [
  { id: 'urgent', share: 0.25, firstTokenMilliseconds: 2_000, betweenTokensMilliseconds: 100 },
  { id: 'daily', share: 0.45, firstTokenMilliseconds: 5_000, betweenTokensMilliseconds: 120 },
  { id: 'drafting', share: 0.3, firstTokenMilliseconds: 15_000, betweenTokensMilliseconds: 150 },
];

const PIONEER_VALLEY: DeploymentProfile = {
  name: 'pioneer-valley',
  failureDomains: [
    { id: 'holyoke', callerShare: 0.4, engines: ['third', 'fourth', 'first'], orderBooks: 0 },
    { id: 'brattleboro', callerShare: 0.2, engines: ['second', 'fifth', 'third'], orderBooks: 0 },
    { id: 'keene', callerShare: 0.15, engines: ['third', 'second', 'fourth'], orderBooks: 0 },
    { id: 'northampton', callerShare: 0.25, engines: ['first', 'third', 'fifth'], orderBooks: 0 },
  ],
  entryHostsPerDomain: 2,
  withinDomainMilliseconds: 0.2,
  betweenDomainsMilliseconds: 1.5,
  toCallersMilliseconds: 1,
  tiers: TIERS,
  customers: [
    { id: 'grants-office', share: 0.35, weight: 2 },
    { id: 'makers', share: 0.3, weight: 2 },
    { id: 'inspectors', share: 0.15, weight: 1 },
    { id: 'fabric-care', share: 0.12, weight: 1 },
    { id: 'apprentices', share: 0.08, weight: 1 },
  ],
  serviceCallsPerSecond: 0,
};

const SOUS_COUCHE_ARMOR: DeploymentProfile = {
  name: 'sous-couche-armor',
  failureDomains: [
    { id: 'rennes', callerShare: 0.5, engines: ['fourth', 'second'], orderBooks: 1 },
    { id: 'brest', callerShare: 0.3, engines: ['third', 'fifth'], orderBooks: 1 },
    { id: 'vannes', callerShare: 0.2, engines: ['first', 'fourth'], orderBooks: 1 },
  ],
  entryHostsPerDomain: 2,
  withinDomainMilliseconds: 0.2,
  betweenDomainsMilliseconds: 1,
  toCallersMilliseconds: 3,
  tiers: TIERS,
  customers: [
    { id: 'wholesaler-north', share: 0.4, weight: 2 },
    { id: 'wholesaler-west', share: 0.25, weight: 2 },
    { id: 'wholesaler-south', share: 0.2, weight: 1 },
    { id: 'fitters', share: 0.1, weight: 1 },
    { id: 'foremen', share: 0.05, weight: 1 },
  ],
  serviceCallsPerSecond: 20,
};

/** Returns the profiles of both deployments at their current sizes. */
export default function getDeployments(): readonly DeploymentProfile[] {
  return [PIONEER_VALLEY, SOUS_COUCHE_ARMOR];
}
