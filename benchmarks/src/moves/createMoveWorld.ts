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
import createDomainCell from './createDomainCell';
import createMessageNet from './createMessageNet';
import createRecordStore from './createRecordStore';
import createRunObserver from './createRunObserver';
import createTrafficModel from './createTrafficModel';
import type { MoveScenario, RecordStore } from './types';

const POOL = 'drafts';
const WATCH_MILLISECONDS: Milliseconds = 10;

type ControllerHost = ReturnType<typeof createControllerHost>;

/** The failure domains, the store, the network and the controllers of one run, wired together. */
interface MoveWorld {
  readonly clock: VirtualClock;
  readonly pool: string;
  readonly failureDomains: readonly string[];
  readonly net: ReturnType<typeof createMessageNet>;
  readonly store: RecordStore;
  readonly observer: ReturnType<typeof createRunObserver>;
  readonly cells: readonly ReturnType<typeof createDomainCell>[];
  /** Every controller that was started, the last one last. */
  readonly hosts: ControllerHost[];
  applyControllerEffect(effect: MoveControllerEffect, host: ControllerHost): void;
  /** Lists the record again at every failure domain that reaches the store. */
  relist(): void;
}

function makeRecord(scenario: MoveScenario): MoveRecord {
  const made = createMoveRecord({
    pool: POOL,
    from: 'old',
    to: 'new',
    startedAt: 0,
    deadline: scenario.span,
    bakeTime: scenario.bakeTime,
    requestsPerSecond: scenario.requestsPerSecond,
    outagePolicy: scenario.outagePolicy,
  });
  if (made.kind === 'error') {
    throw new RangeError(`the scenario has no plan: ${made.error.kind}`);
  }
  return made.value;
}

/** Wires the real guards and controllers to fakes of the traffic, the network and the store. */
export default function createMoveWorld(scenario: MoveScenario): MoveWorld {
  const clock = createVirtualClock();
  const random = createRandom(scenario.seed);
  const count = scenario.failureDomains;
  const failureDomains = Array.from({ length: count }, (_, index) => `domain-${index}`);
  const net = createMessageNet(clock, count);
  const observer = createRunObserver(scenario.span, count);
  const traffic = createTrafficModel({ random, fault: scenario.fault });
  const hosts: ControllerHost[] = [];
  const store = createRecordStore({
    clock,
    random,
    faults: scenario.storeFaults,
    first: makeRecord(scenario),
    onChange: publish,
  });
  const cells = failureDomains.map((_, index) =>
    createDomainCell({
      index,
      pool: POOL,
      failureDomains,
      requestsPerSecond: scenario.requestsPerSecond / count,
      clock,
      traffic,
      observer,
      apply: applyGuardEffect,
    }),
  );

  function showRecord(stored: StoredMove, domain: number): void {
    cells[domain]!.handle({ kind: 'recordSeen', stored });
    hosts
      .filter((host) => host.domain === domain)
      .forEach((host) => host.handle({ kind: 'recordSeen', stored }));
  }

  function publish(stored: StoredMove): void {
    observer.verdict(stored.record.verdict);
    cells.forEach((_, domain) => {
      clock.after(WATCH_MILLISECONDS, () => {
        if (!store.isDown() && !net.isCutOff(domain)) {
          showRecord(stored, domain);
        }
      });
    });
  }

  /** Watches are re-listed each second. */
  function relist(): void {
    const stored = store.tryGetStored();
    cells.forEach((_, domain) => {
      if (stored !== undefined && !net.isCutOff(domain)) {
        showRecord(stored, domain);
      }
    });
  }

  function callStore(
    effect: RecordEffect,
    domain: number,
    answered: (answer: RecordAnswer) => void,
  ): void {
    if (net.isCutOff(domain)) {
      clock.after(WATCH_MILLISECONDS, () =>
        answered({ kind: 'unavailable', retryAfter: WATCH_MILLISECONDS }),
      );
    } else if (effect.kind === 'readRecord') {
      store.read(answered);
    } else {
      store.write(effect.record, effect.version, answered);
    }
  }

  /** Sends to every other failure domain's guard and to the controllers. */
  function broadcast(from: number, effect: MoveGuardEffect): void {
    if (effect.kind !== 'announceVeto' && effect.kind !== 'announceReport') {
      return;
    }
    const message =
      effect.kind === 'announceVeto'
        ? ({ kind: 'vetoHeard', veto: effect.veto } as const)
        : ({ kind: 'reportHeard', report: effect.report } as const);
    cells.forEach((cell, domain) => {
      if (domain !== from) {
        net.send(from, domain, () => cell.handle(message));
      }
    });
    hosts.forEach((host) => net.send(from, host.domain, () => host.handle(message)));
  }

  function applyGuardEffect(effect: MoveGuardEffect, domain: number): void {
    if (effect.kind === 'logMoveDecision') {
      observer.decided(effect, net.isCutOff(domain), clock.now());
    } else if (effect.kind === 'writeRecord' || effect.kind === 'readRecord') {
      callStore(effect, domain, (answer) =>
        cells[domain]!.handle({ kind: 'recordAnswered', answer }),
      );
    } else {
      broadcast(domain, effect);
    }
  }

  function applyControllerEffect(effect: MoveControllerEffect, host: ControllerHost): void {
    if (effect.kind === 'logMoveDecision') {
      observer.decided(effect, net.isCutOff(host.domain), clock.now());
    } else if (effect.kind === 'announceRecord') {
      const { stored } = effect;
      cells.forEach((cell, domain) =>
        net.send(host.domain, domain, () => cell.handle({ kind: 'recordSeen', stored })),
      );
    } else {
      callStore(effect, host.domain, (answer) => host.handle({ kind: 'recordAnswered', answer }));
    }
  }

  return {
    clock,
    pool: POOL,
    failureDomains,
    net,
    store,
    observer,
    cells,
    hosts,
    applyControllerEffect,
    relist,
  };
}
