import { setImmediate } from 'node:timers/promises';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { EntryHostId } from '@rattanreel/core';
import { createObjectStoreModel } from '@rattanreel/stand-in-platform';
import createFailingTransport from './createFailingTransport';
import createNetwork from './createNetwork';
import createSimulatedHost from './createSimulatedHost';
import type { Deployment, DeploymentOptions, ActivationEvent } from './types';

type RunningHost = ReturnType<typeof createSimulatedHost>;

const START_MILLISECONDS = 1_000;

/** Starts every entry host of the settings over one store, which holds no configuration yet. */
export default function createDeployment(options: DeploymentOptions): Deployment {
  const { settings, seed, loss = 0, repeated = 0 } = options;
  const clock = createVirtualClock(START_MILLISECONDS);
  const random = createRandom(seed);
  const model = createObjectStoreModel({ clock, random });
  const hosts = new Map<EntryHostId, RunningHost>();
  const domains = new Map(settings.entryHosts.map((host) => [host.id, host.failureDomain]));
  const activations: ActivationEvent[] = [];
  const getDomain = (entryHost: EntryHostId) => domains.get(entryHost) ?? '';
  const tryGetRunning = (entryHost: EntryHostId) => {
    const host = hosts.get(entryHost);
    return host?.running ? host : undefined;
  };
  const network = createNetwork({
    clock,
    random,
    loss,
    repeated,
    getDomain,
    tryGetTraffic: (entryHost) => tryGetRunning(entryHost)?.traffic,
    deliver: (to, message) => tryGetRunning(to)?.deliver(message),
  });

  function start(id: EntryHostId): void {
    const isStoreLinkFailed = () =>
      network.isLinkFailed(id, 'store') || network.isLinkFailed(getDomain(id), 'store');
    const host = createSimulatedHost({
      id,
      run: (hosts.get(id)?.run ?? 0) + 1,
      settings,
      clock,
      random,
      transport: createFailingTransport({ model, clock, isLinkFailed: isStoreLinkFailed }),
      send: (to, message) => network.send(id, to, message),
      onActivation: (event) => activations.push(event),
    });
    hosts.set(id, host);
  }

  async function advance(span: number): Promise<void> {
    // The store's promises settle between two milliseconds of virtual time.
    for (let passed = 0; passed < span; passed += 1) {
      clock.advance(1);
      await setImmediate();
    }
  }

  settings.entryHosts.forEach(({ id }) => start(id));
  return {
    clock,
    model,
    activations,
    start,
    advance,
    getHost: (id) => hosts.get(id)!,
    getHosts: () => [...hosts.values()],
    stop: (id) => hosts.get(id)!.stop(),
    setLinkFailed: network.setLinkFailed,
    restoreAllLinks: network.restoreAllLinks,
    async runUntilDone(work) {
      let done = false;
      const finish = () => {
        done = true;
      };
      work.then(finish, finish);
      while (!done) {
        await advance(1);
      }
      return work;
    },
    close() {
      hosts.forEach((host) => host.stop());
      model.close();
    },
  };
}
