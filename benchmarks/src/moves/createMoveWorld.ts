import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Milliseconds, VirtualClock } from '@rattanreel/core';
import { createMoveRecord } from '@rattanreel/moves';
import type {
  MoveControllerEffect,
  MoveGuardEffect,
  MoveRecord,
  RecordAnswer,
  RecordEffect,
  StoredMove,
} from '@rattanreel/moves';
import type createControllerHost from './createControllerHost';
import createSimulatedDomain from './createSimulatedDomain';
import createDomainNetwork from './createDomainNetwork';
import createRecordStore from './createRecordStore';
import createRunObserver from './createRunObserver';
import createTrafficModel from './createTrafficModel';
import type { MoveScenario, RecordStore } from './types';

const POOL = 'drafts';
const WATCH_DELAY_MILLISECONDS: Milliseconds = 10;

type ControllerHost = ReturnType<typeof createControllerHost>;

/** The failure domains, the store, the network and the controllers of one run, wired together. */
interface MoveWorld {
  readonly clock: VirtualClock;
  readonly pool: string;
  readonly failureDomains: readonly string[];
  readonly network: ReturnType<typeof createDomainNetwork>;
  readonly store: RecordStore;
  readonly observer: ReturnType<typeof createRunObserver>;
  readonly domains: readonly ReturnType<typeof createSimulatedDomain>[];
  /** Every controller that was started, the latest last. */
  readonly hosts: ControllerHost[];
  applyControllerEffect(effect: MoveControllerEffect, host: ControllerHost): void;
  /** Delivers the record again to every failure domain that reaches the store. */
  relistRecord(): void;
}

function createInitialRecord(scenario: MoveScenario): MoveRecord {
  const created = createMoveRecord({
    pool: POOL,
    from: 'old',
    to: 'new',
    startedAt: 0,
    deadline: scenario.span,
    bakeTime: scenario.bakeTime,
    requestsPerSecond: scenario.requestsPerSecond,
    outagePolicy: scenario.outagePolicy,
  });
  if (created.kind === 'error') {
    throw new RangeError(`cannot create the scenario's move record: ${created.error.kind}`);
  }
  return created.value;
}

/** Connects the real guards and controllers to models of the traffic, the network and the store. */
export default function createMoveWorld(scenario: MoveScenario): MoveWorld {
  const clock = createVirtualClock();
  const random = createRandom(scenario.seed);
  const domainCount = scenario.failureDomains;
  const failureDomains = Array.from({ length: domainCount }, (_, index) => `domain-${index}`);
  const network = createDomainNetwork(clock, domainCount);
  const observer = createRunObserver(scenario.span, domainCount);
  const traffic = createTrafficModel({ random, fault: scenario.fault });
  const hosts: ControllerHost[] = [];
  const store = createRecordStore({
    clock,
    random,
    faults: scenario.storeFaults,
    first: createInitialRecord(scenario),
    onChange: publish,
  });
  const domains = failureDomains.map((_, index) =>
    createSimulatedDomain({
      index,
      pool: POOL,
      failureDomains,
      requestsPerSecond: scenario.requestsPerSecond / domainCount,
      clock,
      traffic,
      observer,
      apply: applyGuardEffect,
    }),
  );

  function deliverRecord(stored: StoredMove, domain: number): void {
    domains[domain]!.handle({ kind: 'recordSeen', stored });
    hosts
      .filter((host) => host.domain === domain)
      .forEach((host) => host.handle({ kind: 'recordSeen', stored }));
  }

  function publish(stored: StoredMove): void {
    observer.recordVerdict(stored.record.verdict);
    domains.forEach((_, domain) => {
      clock.after(WATCH_DELAY_MILLISECONDS, () => {
        if (!store.isDown() && !network.isPartitioned(domain)) {
          deliverRecord(stored, domain);
        }
      });
    });
  }

  /** Models watches that list the record again at intervals. */
  function relistRecord(): void {
    const stored = store.tryGetStored();
    domains.forEach((_, domain) => {
      if (stored !== undefined && !network.isPartitioned(domain)) {
        deliverRecord(stored, domain);
      }
    });
  }

  function callStore(
    effect: RecordEffect,
    domain: number,
    onResponse: (answer: RecordAnswer) => void,
  ): void {
    if (network.isPartitioned(domain)) {
      clock.after(WATCH_DELAY_MILLISECONDS, () =>
        onResponse({ kind: 'unavailable', retryAfter: WATCH_DELAY_MILLISECONDS }),
      );
    } else if (effect.kind === 'readRecord') {
      store.read(onResponse);
    } else {
      store.write(effect.record, effect.version, onResponse);
    }
  }

  /** Sends a veto or report to every other failure domain's guard and to the controllers. */
  function broadcast(from: number, effect: MoveGuardEffect): void {
    if (effect.kind !== 'announceVeto' && effect.kind !== 'announceReport') {
      return;
    }
    const message =
      effect.kind === 'announceVeto'
        ? ({ kind: 'vetoHeard', veto: effect.veto } as const)
        : ({ kind: 'reportHeard', report: effect.report } as const);
    domains.forEach((simulatedDomain, domain) => {
      if (domain !== from) {
        network.send(from, domain, () => simulatedDomain.handle(message));
      }
    });
    hosts.forEach((host) => network.send(from, host.domain, () => host.handle(message)));
  }

  function applyGuardEffect(effect: MoveGuardEffect, domain: number): void {
    if (effect.kind === 'logMoveDecision') {
      observer.recordDecision(effect, network.isPartitioned(domain), clock.now());
    } else if (effect.kind === 'writeRecord' || effect.kind === 'readRecord') {
      callStore(effect, domain, (answer) =>
        domains[domain]!.handle({ kind: 'recordAnswered', answer }),
      );
    } else {
      broadcast(domain, effect);
    }
  }

  function applyControllerEffect(effect: MoveControllerEffect, host: ControllerHost): void {
    if (effect.kind === 'logMoveDecision') {
      observer.recordDecision(effect, network.isPartitioned(host.domain), clock.now());
    } else if (effect.kind === 'announceRecord') {
      const { stored } = effect;
      domains.forEach((simulatedDomain, domain) =>
        network.send(host.domain, domain, () =>
          simulatedDomain.handle({ kind: 'recordSeen', stored }),
        ),
      );
    } else {
      callStore(effect, host.domain, (answer) => host.handle({ kind: 'recordAnswered', answer }));
    }
  }

  return {
    clock,
    pool: POOL,
    failureDomains,
    network,
    store,
    observer,
    domains,
    hosts,
    applyControllerEffect,
    relistRecord,
  };
}
