import { createConfigurationTask } from '@rattanreel/configuration';
import type { ConfigurationPeer, DeploymentSettings } from '@rattanreel/configuration';
import type { Clock, EntryHostId, Random, Timer } from '@rattanreel/core';
import { createIncarnation, createMembership } from '@rattanreel/membership';
import type { MembershipEffect, MembershipMessage } from '@rattanreel/membership';
import { createObjectStore } from '@rattanreel/platform';
import type { StoreTransport } from '@rattanreel/platform';
import type { NetworkMessage, ActivationEvent, SimulatedHost, Traffic } from './types';

interface SimulatedHostOptions {
  readonly id: EntryHostId;
  readonly run: number;
  readonly settings: DeploymentSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: StoreTransport;
  readonly send: (to: EntryHostId, message: NetworkMessage) => void;
  readonly onActivation: (event: ActivationEvent) => void;
}

interface RunningHost extends SimulatedHost {
  deliver(message: NetworkMessage): void;
  stop(): void;
}

const SEEDS_PER_REMOTE_DOMAIN = 2;
const CAPACITY_REPORT_INTERVAL_MILLISECONDS = 1_000;
const MAXIMUM_START_DELAY_MILLISECONDS = 250;

/**
 * Creates an entry host whose membership and configuration are connected as in a serving process.
 */
export default function createSimulatedHost(options: SimulatedHostOptions): RunningHost {
  const { id, run, settings, clock, random, transport, send, onActivation } = options;
  const self = settings.entryHosts.find((host) => host.id === id)!;
  const traffic: Traffic = { membershipBytes: 0, configurationBytes: 0, messages: 0 };
  const store = createObjectStore({ clock, random, transport });
  let running = true;
  let timer: Timer | undefined;
  const membership = createMembership({
    entryHost: id,
    failureDomain: self.failureDomain,
    address: self.peerAddress,
    incarnation: createIncarnation(clock.wallTime().getTime(), random),
    entryHosts: settings.entryHosts,
    startedAt: clock.now(),
    random,
  });
  const configuration = createConfigurationTask({
    entryHost: id,
    address: self.peerAddress,
    seeds: chooseSeeds(settings, id, self.failureDomain),
    store,
    clock,
    random,
    listener: {
      onSend: ({ entryHost, message }) => send(entryHost, { kind: 'configuration', message }),
      onSettings({ generation, settings: { entryHosts } }) {
        const changeId = configuration.status().activeConfiguration?.changeId ?? '';
        onActivation({ entryHost: id, run, generation, changeId, at: clock.now() });
        handleMembership({ kind: 'configurationChanged', generation, entryHosts });
      },
    },
  });

  function handleMembership(message: MembershipMessage): void {
    if (running) {
      membership.handle(message, clock.now()).forEach(applyEffect);
    }
  }

  function applyEffect(effect: MembershipEffect): void {
    if (effect.kind === 'sendToPeer') {
      send(effect.entryHost, { kind: 'membership', message: effect.message });
    } else if (effect.kind === 'laterGenerationSeen') {
      configuration.handle(effect);
    } else if (effect.kind === 'membersChanged') {
      const { members, isDelegate } = membership.view(clock.now());
      const peers = members
        .filter(({ entryHost }) => entryHost !== id)
        .map(({ entryHost, address }) => ({ entryHost, address }));
      configuration.handle({ kind: 'peersChanged', peers, isDelegate });
    }
  }

  function tick(): void {
    handleMembership({ kind: 'timePassed' });
    const wait = membership.getNextWakeUp(clock.now()) - clock.now();
    timer = clock.after(Math.max(1, wait), tick);
  }

  /** Reports capacities that change with every report, as under load. */
  function reportCapacities(): void {
    if (!running) {
      return;
    }
    const rooms = settings.pools
      .filter((pool) => membership.tryGetOwner(pool.id, self.failureDomain)?.entryHost === id)
      .map((pool) => ({
        pool: pool.id,
        spareTokens: random.integer(0, 400_000),
        queuedTokens: random.integer(0, 90_000),
        drained: false,
      }));
    handleMembership({ kind: 'roomsChanged', rooms });
    clock.after(CAPACITY_REPORT_INTERVAL_MILLISECONDS, reportCapacities);
  }

  clock.after(random.integer(0, MAXIMUM_START_DELAY_MILLISECONDS), tick);
  clock.after(CAPACITY_REPORT_INTERVAL_MILLISECONDS, reportCapacities);
  return {
    id,
    failureDomain: self.failureDomain,
    run,
    membership,
    traffic,
    get running() {
      return running;
    },
    getStatus: () => configuration.status(),
    async apply(request) {
      const applied = await configuration.apply(request);
      return applied.kind === 'ok' ? applied.value.kind : applied.error.kind;
    },
    drainLocally: (drain) => configuration.handle({ kind: 'localDrainRequested', drain }),
    deliver(message) {
      if (message.kind === 'membership') {
        handleMembership({ kind: 'peerMessageReceived', message: message.message });
      } else {
        configuration.handle({ kind: 'peerMessageReceived', message: message.message });
      }
    },
    stop() {
      running = false;
      timer?.cancel();
      configuration.close();
    },
  };
}

function chooseSeeds(
  settings: DeploymentSettings,
  self: EntryHostId,
  failureDomain: string,
): readonly ConfigurationPeer[] {
  return settings.failureDomains.flatMap(({ id }) => {
    const peers = settings.entryHosts.filter(
      (host) => host.failureDomain === id && host.id !== self,
    );
    const seeds = id === failureDomain ? peers : peers.slice(0, SEEDS_PER_REMOTE_DOMAIN);
    return seeds.map((host) => ({ entryHost: host.id, address: host.peerAddress }));
  });
}
