import type { PoolChanged, SchedulerEffect, SchedulerMessage } from '@rattanreel/scheduling';
import createFakeEngine from './createFakeEngine';
import createFakeHost from './createFakeHost';
import createFakeSchedulerHost from './createFakeSchedulerHost';
import type { FakeHost, FakeSchedulerHost, SoakRun, SoakScenario, SoakWorld } from './types';

const DETECTION_MILLISECONDS = 1_500;
const MEMORY_TOKENS = 20_000;
const MAXIMUM_STREAMS = 24;
const REMOTE_POOL_SPARE_TOKENS = 4_000;

/** Creates the engines, entry hosts and first scheduler of a scenario. */
export default function createSoakRun(scenario: SoakScenario, world: SoakWorld): SoakRun {
  const dispatched = new Set<string>();
  const engines = Array.from({ length: scenario.engines }, (_, index) =>
    createFakeEngine(world, index),
  );
  const hosts: FakeHost[] = [];
  const flags = { domainDrained: false, arrivalFactor: 1 };
  let processCount = 0;

  function apply(effect: SchedulerEffect): void {
    if (effect.kind === 'cancelAtBackendServer') {
      engines.find((engine) => engine.id === effect.backendServer)!.cancel(effect.request);
      return;
    }
    if (effect.kind === 'standingChanged' || effect.kind === 'versionEvidence') {
      return;
    }
    const host = hosts.find(
      ({ member }) =>
        member.entryHost === effect.to.entryHost && member.incarnation === effect.to.incarnation,
    );
    world.send(() => {
      if (effect.kind === 'grant') {
        host?.receiveGrant(effect);
      } else if (effect.kind === 'refusal') {
        host?.receiveRefusal(effect.request);
      } else {
        host?.receiveSpillOver(effect.request);
      }
    });
  }

  function startScheduler(handover: boolean): FakeSchedulerHost {
    processCount += 1;
    return createFakeSchedulerHost({ world, seed: scenario.seed + processCount, handover, apply });
  }

  let scheduler = startScheduler(false);

  function sendToScheduler(message: SchedulerMessage): void {
    world.send(() => scheduler.receive(message));
  }

  function addHost(name: string): void {
    processCount += 1;
    const incarnation = `${processCount}`;
    hosts.push(createFakeHost({ world, name, incarnation, engines, dispatched, sendToScheduler }));
  }

  function createPoolChanged(): PoolChanged {
    const remoteSummary = { summaryAge: 0, spareTokens: REMOTE_POOL_SPARE_TOKENS, queuedTokens: 0 };
    return {
      kind: 'poolChanged',
      backendServers: engines.map((engine) => ({
        id: engine.id,
        hardware: 'x',
        version: engine.version,
        memoryTokens: MEMORY_TOKENS,
        maximumStreams: MAXIMUM_STREAMS,
        drained: engine.state.drained,
      })),
      shares: [{ version: 'v1', share: 1 }],
      tiers: 3,
      domainDrained: flags.domainDrained,
      remotePools: [{ failureDomain: 'd3', ...remoteSummary, drained: false }],
    };
  }

  function publishMembers(dead: readonly FakeHost['member'][]): void {
    const alive = hosts.map((host) => host.member);
    scheduler.receive({ kind: 'membersChanged', alive, dead });
  }

  function reportInFlight(): void {
    hosts.forEach((host) =>
      sendToScheduler({
        kind: 'inFlightReported',
        from: host.member,
        inFlight: host.getInFlight(),
      }),
    );
  }

  for (let index = 0; index < scenario.hosts; index += 1) {
    addHost(`host${index}`);
  }

  return {
    world,
    engines,
    hosts,
    flags,
    get scheduler() {
      return scheduler;
    },
    sendToScheduler,
    publishPool: () => scheduler.receive(createPoolChanged()),
    publishMembers,
    reportInFlight,
    replaceScheduler() {
      scheduler = startScheduler(true);
      scheduler.receive(createPoolChanged());
      publishMembers([]);
      reportInFlight();
    },
    replaceHost(host) {
      host.kill();
      hosts.splice(hosts.indexOf(host), 1);
      addHost(host.member.entryHost);
      world.clock.after(DETECTION_MILLISECONDS, () => publishMembers([host.member]));
    },
  };
}
