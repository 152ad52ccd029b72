import type { CallerMemory } from '@rattanreel/connections';
import type { LoopDelay } from '../lateness/types';
import createForwardedTasks from './createForwardedTasks';
import createForwardingConnections from './createForwardingConnections';
import type { Forwarding } from './types';

type ForwardingOptions = Parameters<typeof createForwardingConnections>[0] & {
  /** Whether this host still accepts tasks of peers. */
  readonly isServing: () => boolean;
  readonly loopDelay: Pick<LoopDelay, 'getArrivalTime'>;
  /** Not limited if absent. */
  readonly callerMemory?: Pick<CallerMemory, 'reserve'>;
};

/** Joins both sides of forwarding: what this host forwards, and what it does for its peers. */
export default function createForwarding(options: ForwardingOptions): Forwarding {
  const connections = createForwardingConnections(options);
  const tasks = createForwardedTasks({
    getArrivalTime: options.loopDelay.getArrivalTime,
    direct: options.direct,
    reserveBody: options.callerMemory?.reserve,
    canServe: (server) =>
      options.isServing() && !connections.isCut(server) && !connections.isWithheld(server),
  });
  return { connections, tasks };
}
