import type { Milliseconds } from '@rattanreel/core';
import type { AgedServerLoad, ServerSpeeds } from '../speed/types';
import type { ServerState } from '../types';

interface ServerLoadOptions {
  readonly server: ServerState;
  readonly load: AgedServerLoad;
  readonly speeds: Pick<ServerSpeeds, 'record'>;
  readonly now: Milliseconds;
}

/** Records the load and the speed that a server reported; returns whether its speed is news. */
export default function recordServerLoad(options: ServerLoadOptions): boolean {
  const { server, load, speeds, now } = options;
  const { running, waiting, slowdown, age } = load;
  const observedAt = now - age;
  server.reportedPeerInFlight = Math.max(running + waiting - server.ownInFlight, 0);
  server.reportedAt = observedAt;
  return slowdown !== undefined && speeds.record(server.listed.id, { slowdown, observedAt });
}
