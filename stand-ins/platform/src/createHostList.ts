import type { Clock, Milliseconds } from '@rattanreel/core';
import type { ListedHost } from '@rattanreel/platform';

interface HostList {
  put(host: ListedHost): void;
  remove(id: string): void;
  getListed(): readonly ListedHost[];
}

/** The platform's list of hosts, which shows each change only after `lag`. */
export default function createHostList(clock: Clock, lag: Milliseconds): HostList {
  const listed = new Map<string, ListedHost>();
  return {
    put(host) {
      clock.after(lag, () => listed.set(host.id, host));
    },
    remove(id) {
      clock.after(lag, () => listed.delete(id));
    },
    getListed: () => [...listed.values()],
  };
}
