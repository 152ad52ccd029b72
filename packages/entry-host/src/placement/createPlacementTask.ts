import { Debug } from '@rattanreel/core';
import type { Timer } from '@rattanreel/core';
import {
  createEngineOrderSender,
  createPlacementController,
  splitLoadBudget,
} from '@rattanreel/placement';
import type { EngineOrderSender, PlacementEffect, PlacementMessage } from '@rattanreel/placement';
import { createLease } from '@rattanreel/platform';
import type { Lease } from '@rattanreel/platform';
import type { SettingsView } from '../types';
import createServerPoller from './createServerPoller';
import describeDemand from './describeDemand';
import type { PlacementTask, PlacementTaskOptions } from './types';

const SERVER_POLL_INTERVAL_MS = 2_000;
/** Rate of the weight store, divided among failure domains by their number of backend servers. */
const WEIGHT_STORE_LOAD_BUDGET = { loadsPerMinute: 12, burst: 4 };
const MINIMUM_BUDGET = { loadsPerMinute: 1, burst: 1 };

/** Runs the placement controller of this failure domain while the placement lease is held here. */
export default function createPlacementTask(options: PlacementTaskOptions): PlacementTask {
  const { failureDomain, clock, random, store, engineClient } = options;
  const poller = createServerPoller(failureDomain, engineClient);
  let controller: ReturnType<typeof createPlacementController> | undefined;
  let sender: EngineOrderSender | undefined;
  let lease: Lease | undefined;
  let timer: Timer | undefined;

  function getLoadBudget(view: SettingsView) {
    const sizes = view.settings.failureDomains.map(({ id }) => ({
      failureDomain: id,
      backendServers: view.settings.backendServers.filter((server) => server.failureDomain === id)
        .length,
    }));
    const budgets = splitLoadBudget(WEIGHT_STORE_LOAD_BUDGET, sizes);
    return budgets.find((entry) => entry.failureDomain === failureDomain)?.budget ?? MINIMUM_BUDGET;
  }

  async function sendOrder(effect: Extract<PlacementEffect, { kind: 'sendOrder' }>): Promise<void> {
    const address = poller.tryGetAddress(effect.backendServer);
    if (address !== undefined && sender !== undefined) {
      const outcome = await sender.send(address, effect.order, effect.fence);
      handle({ kind: 'orderAnswered', backendServer: effect.backendServer, outcome });
    }
  }

  async function readState({ backendServer }: { backendServer: string }): Promise<void> {
    const address = poller.tryGetAddress(backendServer);
    if (address !== undefined && sender !== undefined) {
      const read = await sender.readState(address);
      const state = read.kind === 'ok' ? read.value : undefined;
      handle({ kind: 'stateRead', backendServer, state });
    }
  }

  function carryOut(effect: PlacementEffect): void {
    switch (effect.kind) {
      case 'sendOrder':
        void sendOrder(effect);
        break;
      case 'readState':
        void readState(effect);
        break;
      case 'logPlacement':
        options.decisions.record(effect.decision);
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function handle(message: PlacementMessage): void {
    controller?.handle(message, clock.now()).forEach(carryOut);
  }

  async function pollServers(): Promise<void> {
    const view = options.tryGetSettings();
    if (view !== undefined && lease?.state().kind === 'held') {
      const servers = await poller.poll(view);
      handle({ kind: 'serversReported', servers });
      handle({ kind: 'demandChanged', demand: describeDemand(view, servers, options.tryGetMove) });
      handle({ kind: 'timePassed' });
    }
    if (lease !== undefined) {
      timer = clock.after(SERVER_POLL_INTERVAL_MS, startPoll);
    }
  }

  function startPoll(): void {
    void pollServers();
  }

  function start(view: SettingsView, holder: string): void {
    controller = createPlacementController({ failureDomain, loadBudget: getLoadBudget(view) });
    lease = createLease({
      store,
      name: `placement-${failureDomain}`,
      holder,
      clock,
      random,
      onChange: (state) => handle({ kind: 'leaseChanged', lease: state }),
    });
    sender = createEngineOrderSender({ lease });
    startPoll();
  }

  async function stop(): Promise<void> {
    timer?.cancel();
    handle({ kind: 'leaseChanged', lease: { kind: 'notHeld' } });
    const previousLease = lease;
    const previousSender = sender;
    lease = undefined;
    sender = undefined;
    controller = undefined;
    await previousLease?.stop();
    await previousSender?.close();
  }

  return {
    update(isDelegate, incarnation) {
      const view = options.tryGetSettings();
      if (isDelegate && lease === undefined && view !== undefined) {
        start(view, incarnation);
      } else if (!isDelegate && lease !== undefined) {
        void stop();
      }
    },
    close: stop,
  };
}
