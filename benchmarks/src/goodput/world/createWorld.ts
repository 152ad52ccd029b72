import { createRandom, createVirtualClock, Debug } from '@rattanreel/core';
import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type {
  Arrival,
  DeploymentProfile,
  Policy,
  RequestRecord,
  RequestTask,
  SimulatedHost,
  World,
} from '../types';
import createBalancer from './createBalancer';
import createCallers from './createCallers';
import createDispatcher from './createDispatcher';
import createEngines from './createEngines';
import createHosts from './createHosts';

interface WorldOptions {
  readonly deployment: DeploymentProfile;
  readonly seed: number;
  readonly reportLag: Milliseconds;
}

/** A world and the functions that drive it. */
interface SimulatedWorld {
  readonly world: World;
  readonly records: readonly RequestRecord[];
  /** Returns the number of requests without an outcome. */
  countOpenRequests(): number;
  setPolicy(policy: Policy): void;
  arrive(arrival: Arrival): void;
  drain(failureDomain: FailureDomainId, drained: boolean): void;
  killHost(host: SimulatedHost): void;
  startHost(host: SimulatedHost): void;
}

/** Creates the hosts, engines and callers of a deployment in virtual time. */
export default function createWorld(options: WorldOptions): SimulatedWorld {
  const { deployment, seed, reportLag } = options;
  const clock = createVirtualClock();
  const engines = createEngines({ deployment, clock, seed, reportLag });
  const hosts = createHosts(deployment);
  const tryChooseHost = createBalancer(hosts);
  const drainedDomains = new Set<FailureDomainId>();
  const enginesById = new Map(engines.map((engine) => [engine.id, engine]));
  const hostsById = new Map(hosts.map((host) => [host.id, host]));
  const { toCallersMilliseconds } = deployment;
  let policy: Policy | undefined;

  const isStillRunning = ({ host, incarnation }: RequestTask): boolean =>
    host.alive && host.incarnation === incarnation;
  const getLatency = (from: FailureDomainId, to: FailureDomainId): Milliseconds =>
    from === to ? deployment.withinDomainMilliseconds : deployment.betweenDomainsMilliseconds;

  const callers = createCallers({
    clock,
    toCallersMilliseconds,
    onCallerDisconnect(task) {
      if (isStillRunning(task)) {
        policy?.handleCallerDisconnect(task);
      }
    },
  });
  const dispatcher = createDispatcher({
    clock,
    getLatency,
    isStillRunning,
    recordFirstToken: callers.recordFirstToken,
  });

  const world: World = {
    clock,
    random: createRandom(seed),
    deployment,
    engines,
    hosts,
    drainedDomains,
    getEngine: (id) => Debug.checkDefined(enginesById.get(id), `engine ${id}`),
    getHost: (id) => Debug.checkDefined(hostsById.get(id), `entry host ${id}`),
    getLatency,
    sendToHost(from, to, action) {
      const host = hostsById.get(to.entryHost)!;
      clock.after(getLatency(from, host.failureDomain), () => {
        if (host.alive && host.incarnation === to.incarnation) {
          action();
        }
      });
    },
    dispatch: dispatcher.dispatch,
    cancel: dispatcher.cancel,
    refuseRequest(task, reason) {
      task.record.refusal = reason;
      callers.end(task, 'refused');
    },
    failRequest: (task) => callers.end(task, 'failed'),
    completeRequest: (task) => callers.end(task, 'answered'),
    recordFirstToken: callers.recordFirstToken,
    isStillRunning,
  };

  function acceptArrival(arrival: Arrival, record: RequestRecord): void {
    const host = Debug.checkDefined(tryChooseHost(arrival), 'running entry host');
    record.entryHost = host.id;
    const task = { arrival, record, host, incarnation: host.incarnation };
    callers.startDeadlines(task);
    policy?.arrive(task);
  }

  return {
    world,
    records: callers.records,
    countOpenRequests: () => callers.openRequests,
    setPolicy(next) {
      policy = next;
    },
    arrive(arrival) {
      const record = callers.open(arrival);
      clock.after(toCallersMilliseconds, () => acceptArrival(arrival, record));
    },
    drain(failureDomain, drained) {
      if (drained) {
        drainedDomains.add(failureDomain);
      } else {
        drainedDomains.delete(failureDomain);
      }
      policy?.handleDomainDrain(failureDomain, drained);
    },
    killHost(host) {
      host.alive = false;
      callers.endWhere('entryHostDied', (task) => task.host === host);
      policy?.handleHostDeath(host);
    },
    startHost(host) {
      host.alive = true;
      host.incarnation = `${host.id}.${clock.now()}`;
      policy?.handleHostStart(host);
    },
  };
}
