import type { Clock, Milliseconds } from '@rattanreel/core';
import type { ListedHost } from '@rattanreel/platform';

interface HostList {
  put(host: ListedHost): void;
  remove(id: string): void;
  getVisibleHosts(): readonly ListedHost[];
}

/** Creates the platform's list of hosts, in which each change becomes visible after `lag`. */
export default function createHostList(clock: Clock, lag: Milliseconds): HostList {
  const visibleHosts = new Map<string, ListedHost>();
  return {
    put(host) {
      clock.after(lag, () => visibleHosts.set(host.id, host));
    },
    remove(id) {
      clock.after(lag, () => visibleHosts.delete(id));
    },
    getVisibleHosts: () => [...visibleHosts.values()],
  };
}
