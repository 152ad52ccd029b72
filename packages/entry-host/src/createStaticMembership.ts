import { createHash } from 'node:crypto';
import type { EntryHostIncarnation } from '@rattanreel/scheduling';
import type { MembershipView, SettingsView } from './types';

function scoreOf(key: string, entryHost: string): string {
  return createHash('sha256').update(`${key} ${entryHost}`).digest('hex');
}

/** Membership that takes every entry host of the settings for alive. */
export default function createStaticMembership(
  self: EntryHostIncarnation,
  tryGetSettings: () => SettingsView | undefined,
): MembershipView {
  function aliveIn(failureDomain: string): readonly EntryHostIncarnation[] {
    const hosts = tryGetSettings()?.settings.entryHosts ?? [];
    return hosts
      .filter((host) => host.failureDomain === failureDomain)
      .map(({ id }) => (id === self.entryHost ? self : { entryHost: id, incarnation: id }));
  }

  return {
    self,
    aliveIn,
    tryGetScheduler: (pool, failureDomain) =>
      [...aliveIn(failureDomain)].sort((left, right) =>
        scoreOf(pool, left.entryHost) < scoreOf(pool, right.entryHost) ? -1 : 1,
      )[0],
  };
}
