import { describe, it } from 'node:test';
import { expect } from 'earl';
import createConfigurationPatch from './changes/createConfigurationPatch';
import exampleSettings from './changes/exampleSettings';
import createConfigurationReplica from './createConfigurationReplica';
import summarisePropagation from './summarisePropagation';
import type {
  ConfigurationEffect,
  ConfigurationMessage,
  ConfigurationPeerMessage,
  LocalDrain,
} from './types';

const { accept } = exampleSettings;
const peerA = { entryHost: 'a', address: 'a:1' };
const peerB = { entryHost: 'b', address: 'b:1' };
const drain: LocalDrain = {
  id: 'l1',
  target: { kind: 'failureDomain', id: 'east' },
  author: 'desk',
};

const fromStore = (generation: number): ConfigurationMessage => ({
  kind: 'storeOffered',
  value: accept(generation),
});
const fromPeer = (message: ConfigurationPeerMessage): ConfigurationMessage => ({
  kind: 'peerMessageReceived',
  message,
});
const sentBy = (from: string, generation: number): ConfigurationMessage =>
  fromPeer({ kind: 'configurationSent', from, configuration: accept(generation) });
const notLater = (from: string): ConfigurationMessage =>
  fromPeer({ kind: 'configurationNotLater', from });
const announced = (generation: number): ConfigurationMessage => ({
  kind: 'laterGenerationSeen',
  ...peerA,
  generation,
});
const patched = (from: number, to: number): ConfigurationMessage =>
  fromPeer({
    kind: 'configurationPatched',
    from: 'a',
    patch: createConfigurationPatch(accept(from), accept(to)),
  });
const recorded = (): ConfigurationMessage => {
  const configuration = accept(9);
  const drained = { ...configuration.settings.drained, recordedLocalDrains: ['l1'] };
  const settings = { ...configuration.settings, drained };
  return { kind: 'storeOffered', value: { ...configuration, settings } };
};
const asDelegate: ConfigurationMessage = {
  kind: 'peersChanged',
  peers: [peerA, peerB],
  isDelegate: true,
};
const tick: ConfigurationMessage = { kind: 'timePassed' };
const localDrain: ConfigurationMessage = { kind: 'localDrainRequested', drain };

interface ReplicaCase {
  readonly name: string;
  /** Messages with the times at which they arrive. */
  readonly messages: readonly (readonly [number, ConfigurationMessage])[];
  /** Active generation after the last message; 0 when there is none. */
  readonly generation: number;
  /** Effects of the last message. */
  readonly effects?: readonly string[];
  readonly drained?: readonly string[];
}

const CASES: readonly ReplicaCase[] = [
  {
    name: 'requests the configuration from the store and the seeds at the start',
    messages: [[0, tick]],
    generation: 0,
    effects: [
      'readStore',
      'sendToPeer configurationRequested a',
      'sendToPeer configurationRequested b',
    ],
  },
  {
    name: 'waits for the peers when the store answers first',
    messages: [
      [0, tick],
      [5, fromStore(3)],
    ],
    generation: 0,
  },
  {
    name: 'selects the highest generation when all have answered',
    messages: [
      [0, tick],
      [5, fromStore(3)],
      [6, sentBy('a', 5)],
      [7, notLater('b')],
    ],
    generation: 5,
    effects: ['settingsInForce'],
  },
  {
    name: 'selects the highest generation received when the start times out',
    messages: [
      [0, tick],
      [5, sentBy('a', 5)],
      [1_000, tick],
    ],
    generation: 5,
  },
  {
    name: 'is not ready without any configuration',
    messages: [
      [0, tick],
      [5, { kind: 'storeOffered', value: undefined }],
      [6, notLater('a')],
      [7, notLater('b')],
      [5_000, tick],
    ],
    generation: 0,
  },
  {
    name: 'adopts a later generation at once',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_001, fromStore(4)],
    ],
    generation: 4,
    effects: ['settingsInForce'],
  },
  {
    name: 'ignores an earlier generation from the store',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, fromStore(3)],
    ],
    generation: 4,
    effects: [],
  },
  {
    name: 'ignores an earlier generation from a peer',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, sentBy('a', 2)],
    ],
    generation: 4,
    effects: [],
  },
  {
    name: 'keeps the active configuration when the store loses it',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, { kind: 'storeOffered', value: undefined }],
    ],
    generation: 4,
    effects: [],
  },
  {
    name: 'keeps the active configuration when an offered one is invalid',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, { kind: 'storeOffered', value: { ...accept(5), settings: { formatVersion: 9 } } }],
    ],
    generation: 4,
    effects: ['offerRejected'],
  },
  {
    name: 'fetches a later generation from the peer that has it',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, announced(6)],
    ],
    generation: 4,
    effects: ['sendToPeer configurationRequested a'],
  },
  {
    name: 'requests a later generation again when the answer is lost',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, announced(6)],
      [1_501, tick],
    ],
    generation: 4,
    effects: ['sendToPeer configurationRequested a'],
  },
  {
    name: 'applies a patch',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, announced(6)],
      [1_003, patched(4, 6)],
    ],
    generation: 6,
  },
  {
    name: 'requests the whole configuration when a patch does not apply',
    messages: [
      [0, tick],
      [1_000, fromStore(4)],
      [1_001, announced(6)],
      [1_003, patched(5, 6)],
    ],
    generation: 4,
    effects: ['sendToPeer configurationRequested a'],
  },
  {
    name: 'ignores a patch to an earlier generation',
    messages: [
      [0, tick],
      [1_000, fromStore(7)],
      [1_003, patched(5, 6)],
    ],
    generation: 7,
    effects: [],
  },
  {
    name: 'announces an adopted configuration as a delegate',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_001, asDelegate],
      [1_002, fromStore(4)],
    ],
    generation: 4,
    effects: [
      'settingsInForce',
      'sendToPeer configurationAnnounced a',
      'sendToPeer configurationAnnounced b',
    ],
  },
  {
    name: 'sends the whole configuration to a host that has none',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_001, fromPeer({ kind: 'configurationRequested', from: 'a', fromAddress: 'a:1', have: 0 })],
    ],
    generation: 3,
    effects: ['sendToPeer configurationSent a'],
  },
  {
    name: 'sends a patch to a host that is behind',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_001, fromStore(4)],
      [1_002, fromPeer({ kind: 'configurationRequested', from: 'a', fromAddress: 'a:1', have: 3 })],
    ],
    generation: 4,
    effects: ['sendToPeer configurationPatched a'],
  },
  {
    name: 'applies a local drain at once, sends it to peers and records it',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_001, asDelegate],
      [1_002, localDrain],
    ],
    generation: 3,
    effects: [
      'settingsInForce',
      'sendToPeer localDrainsTold a',
      'sendToPeer localDrainsTold b',
      'recordLocalDrain',
    ],
    drained: ['east'],
  },
  {
    name: 'keeps a local drain under a later configuration that has not recorded it',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_002, localDrain],
      [1_003, fromStore(4)],
    ],
    generation: 4,
    drained: ['east'],
  },
  {
    name: 'removes a local drain with the configuration that has recorded it',
    messages: [
      [0, tick],
      [1_000, fromStore(3)],
      [1_002, localDrain],
      [1_003, recorded()],
    ],
    generation: 9,
    drained: [],
  },
  {
    name: 'ignores a recorded local drain from a peer that is behind',
    messages: [
      [0, tick],
      [1_000, recorded()],
      [1_002, fromPeer({ kind: 'localDrainsTold', from: 'a', drains: [drain] })],
    ],
    generation: 9,
    effects: [],
    drained: [],
  },
];

function describeEffect(effect: ConfigurationEffect): string {
  return effect.kind === 'sendToPeer'
    ? `${effect.kind} ${effect.message.kind} ${effect.entryHost}`
    : effect.kind;
}

describe(createConfigurationReplica.name, () => {
  for (const { name, messages, generation, effects, drained } of CASES) {
    it(name, () => {
      const replica = createConfigurationReplica({
        entryHost: 'self',
        address: 'self:1',
        seeds: [peerA, peerB],
        startedAt: 0,
      });
      const last = messages.map(([now, message]) => replica.handle(message, now)).at(-1)!;
      const status = replica.status();
      expect(status.activeConfiguration?.generation ?? 0).toEqual(generation);
      expect(status.ready).toEqual(generation > 0);
      if (effects !== undefined) {
        expect(last.map(describeEffect)).toEqual([...effects]);
      }
      if (drained !== undefined) {
        expect(status.settings?.drained.failureDomains).toEqual(drained);
      }
    });
  }
});

describe(summarisePropagation.name, () => {
  it('counts hosts with the generation or a later one, and no hosts of a domain without a report', () => {
    const reports = [
      {
        failureDomain: 'north',
        age: 10,
        generations: [
          { generation: 3, hosts: 1 },
          { generation: 4, hosts: 1 },
        ],
      },
      { failureDomain: 'east', age: 20, generations: [{ generation: 5, hosts: 2 }] },
    ];
    const { hostsInForce, hostsKnown, domains } = summarisePropagation(accept(4), reports);
    expect({ hostsInForce, hostsKnown }).toEqual({ hostsInForce: 3, hostsKnown: 6 });
    expect(domains.map((domain) => domain.hostsInForce)).toEqual([1, 2, 0]);
  });
});
