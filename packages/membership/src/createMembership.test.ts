import { describe, it } from 'node:test';
import { createRandom } from '@rattanreel/core';
import { expect } from 'earl';
import fc from 'fast-check';
import chooseOwner from './chooseOwner';
import createIncarnation from './createIncarnation';
import createMembership from './createMembership';
import mergeRows from './mergeRows';
import simulateMembers from './simulateMembers';
import type { MemberRow, SimulatedMember, SimulatedMembers } from './types';

const SETTLING_TIME_MILLISECONDS = 6_000;

function statesSeenBy(host: SimulatedMember, now: number): Readonly<Record<string, string>> {
  const { members } = host.membership.view(now);
  return Object.fromEntries(members.map(({ entryHost, state }) => [entryHost, state]));
}

function effectsOf(host: SimulatedMember, kind: string): number {
  return host.effects.filter((effect) => effect.kind === kind).length;
}

/** Counts the effects of one kind at all hosts since they started. */
function countAll(members: SimulatedMembers, kind: string): number {
  return members.hosts().reduce((sum, host) => sum + effectsOf(host, kind), 0);
}

describe(createMembership.name, () => {
  for (const hostsPerDomain of [1, 2, 3, 8, 30]) {
    it(`sees all ${hostsPerDomain} hosts of a domain and suspects none`, () => {
      const members = simulateMembers({ domains: 1, hostsPerDomain, seed: 1 });
      members.clock.advance(60_000);
      members.hosts().forEach((host) => {
        const view = host.membership.view(members.clock.now());
        expect(view.joined).toEqual(true);
        expect(view.members.map(({ state }) => state)).toEqual(
          Array<'alive'>(hostsPerDomain).fill('alive'),
        );
        expect(view.delegates.length).toEqual(Math.min(2, hostsPerDomain));
      });
    });
  }

  interface FailureCase {
    readonly name: string;
    readonly hosts: number;
    readonly act: (members: SimulatedMembers) => void;
    readonly after: number;
    /** State of each member as d0-h0 sees it. */
    readonly expected: Readonly<Record<string, string>>;
    readonly incarnationsChanged?: number;
  }
  const failures: readonly FailureCase[] = [
    {
      name: 'a dead host is suspected within 1.6 s',
      hosts: 4,
      act: (members) => members.stop('d0-h2'),
      after: 1_600,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive', 'd0-h2': 'suspected', 'd0-h3': 'alive' },
    },
    {
      name: 'a dead host is removed within 3 s',
      hosts: 4,
      act: (members) => members.stop('d0-h2'),
      after: 3_000,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive', 'd0-h3': 'alive' },
    },
    {
      name: 'of two hosts, the remaining one declares the other dead',
      hosts: 2,
      act: (members) => members.stop('d0-h1'),
      after: 3_000,
      expected: { 'd0-h0': 'alive' },
    },
    {
      name: 'a host refutes a suspicion after a short pause',
      hosts: 4,
      act(members) {
        members.pause('d0-h2');
        members.clock.after(1_700, () => members.resume('d0-h2'));
      },
      after: 4_000,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive', 'd0-h2': 'alive', 'd0-h3': 'alive' },
      incarnationsChanged: 0,
    },
    {
      name: 'a host rejoins under a new incarnation after a long pause',
      hosts: 4,
      act(members) {
        members.pause('d0-h2');
        members.clock.after(10_000, () => members.resume('d0-h2'));
      },
      after: 14_000,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive', 'd0-h2': 'alive', 'd0-h3': 'alive' },
      incarnationsChanged: 1,
    },
    {
      name: 'one failed link makes no host suspected or dead',
      hosts: 5,
      act: (members) => members.failedLinks.add('d0-h2 d0-h3').add('d0-h3 d0-h2'),
      after: 30_000,
      expected: {
        'd0-h0': 'alive',
        'd0-h1': 'alive',
        'd0-h2': 'alive',
        'd0-h3': 'alive',
        'd0-h4': 'alive',
      },
      incarnationsChanged: 0,
    },
    {
      name: 'a partitioned host declares nobody dead and rejoins under a new incarnation',
      hosts: 5,
      act(members) {
        members.failedLinks.add('d0-h2 *').add('* d0-h2');
        members.clock.after(20_000, () => members.failedLinks.clear());
      },
      after: 25_000,
      expected: {
        'd0-h0': 'alive',
        'd0-h1': 'alive',
        'd0-h2': 'alive',
        'd0-h3': 'alive',
        'd0-h4': 'alive',
      },
      incarnationsChanged: 1,
    },
    {
      name: 'a majority that dies at once is suspected but not declared dead',
      hosts: 6,
      act: (members) => [1, 2, 3, 4].forEach((index) => members.stop(`d0-h${index}`)),
      after: 10_000,
      expected: {
        'd0-h0': 'alive',
        'd0-h1': 'suspected',
        'd0-h2': 'suspected',
        'd0-h3': 'suspected',
        'd0-h4': 'suspected',
        'd0-h5': 'alive',
      },
    },
    {
      name: 'a majority that the platform no longer lists is declared dead',
      hosts: 6,
      act(members) {
        [1, 2, 3, 4].forEach((index) => members.stop(`d0-h${index}`));
        const entryHosts = ['d0-h0', 'd0-h5'];
        entryHosts.forEach((id) => members.deliver(id, { kind: 'hostsListed', entryHosts }));
      },
      after: 10_000,
      expected: { 'd0-h0': 'alive', 'd0-h5': 'alive' },
    },
    {
      name: 'a host that departs is removed at once',
      hosts: 3,
      act: (members) => {
        members.deliver('d0-h2', { kind: 'departed' });
        members.stop('d0-h2');
      },
      after: 10,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive' },
    },
    {
      name: 'a departure received by only one host reaches the others',
      hosts: 8,
      act(members) {
        [0, 1, 3, 4, 5, 6].forEach((index) => members.failedLinks.add(`d0-h2 d0-h${index}`));
        members.deliver('d0-h2', { kind: 'departed' });
        members.stop('d0-h2');
      },
      after: 900,
      expected: Object.fromEntries([0, 1, 3, 4, 5, 6, 7].map((index) => [`d0-h${index}`, 'alive'])),
    },
    {
      name: 'a host accuses nobody because of heartbeats missed while it was paused',
      hosts: 2,
      act(members) {
        members.pause('d0-h0');
        members.clock.after(3_000, () => {
          members.host('d0-h0').backlog.length = 0;
          members.failedLinks.add('d0-h1 d0-h0');
          members.resume('d0-h0');
        });
      },
      after: 3_500,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive' },
    },
    {
      name: 'an accusation that the accused did not receive is refuted after contact is restored',
      hosts: 2,
      act(members) {
        members.failedLinks.add('d0-h1 d0-h0').add('d0-h0 d0-h1');
        members.clock.after(1_400, () => members.failedLinks.clear());
      },
      after: 5_000,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive' },
      incarnationsChanged: 0,
    },
    {
      name: 'a restarted host replaces its earlier run',
      hosts: 3,
      act(members) {
        members.stop('d0-h2');
        members.start('d0-h2');
      },
      after: 1_000,
      expected: { 'd0-h0': 'alive', 'd0-h1': 'alive', 'd0-h2': 'alive' },
      incarnationsChanged: 0,
    },
  ];
  for (const { name, hosts, act, after, expected, incarnationsChanged } of failures) {
    it(name, () => {
      const members = simulateMembers({ domains: 1, hostsPerDomain: hosts, seed: 7 });
      members.clock.advance(SETTLING_TIME_MILLISECONDS);
      act(members);
      members.clock.advance(after);
      expect(statesSeenBy(members.host('d0-h0'), members.clock.now())).toLooseEqual(expected);
      if (incarnationsChanged !== undefined) {
        expect(countAll(members, 'incarnationChanged')).toEqual(incarnationsChanged);
      }
    });
  }

  it('reports the dead incarnation when a process is replaced, and stops the older process', () => {
    const members = simulateMembers({ domains: 1, hostsPerDomain: 3, seed: 3 });
    members.clock.advance(SETTLING_TIME_MILLISECONDS);
    const older = members.host('d0-h1');
    const { incarnation } = older.membership.view(0).self;
    members.pause('d0-h1');
    members.start('d0-h1');
    members.clock.advance(SETTLING_TIME_MILLISECONDS);
    const dead = members
      .host('d0-h0')
      .effects.flatMap((effect) => (effect.kind === 'membersChanged' ? effect.dead : []));
    expect(dead).toEqual([{ entryHost: 'd0-h1', incarnation, failureDomain: 'd0' }]);
    const envelope = { from: 'd0-h0', kind: 'rowsChanged' as const };
    const [row] = members.host('d0-h1').membership.view(0).members.filter(isNamed('d0-h1'));
    const rows: MemberRow[] = [{ ...row!, version: 0, leaving: false, dead: false, accusers: [] }];
    const effects = older.membership.handle(
      { kind: 'peerMessageReceived', message: { ...envelope, rows } },
      members.clock.now(),
    );
    expect(effects.map(({ kind }) => kind)).toInclude('replaced');
    expect(older.membership.handle({ kind: 'timePassed' }, members.clock.now())).toEqual([]);
  });

  it('distributes summaries, capacities, members and generations of every domain to every host', () => {
    const members = simulateMembers({ domains: 4, hostsPerDomain: 5, seed: 5, loss: 0.05 });
    members.hosts().forEach(({ id, membership }) => {
      const owner = () => membership.tryGetOwner('pool-a', id.slice(0, 2))?.entryHost;
      members.clock.after(3_000, () => {
        members.deliver(id, {
          kind: 'configurationChanged',
          generation: 4,
          entryHosts: listConfiguredHosts(members),
        });
        const room = { pool: 'pool-a', spareTokens: 10, queuedTokens: 2, drained: false };
        members.deliver(id, { kind: 'roomsChanged', rooms: owner() === id ? [room] : [] });
      });
    });
    members.clock.advance(30_000);
    members.hosts().forEach(({ id, membership }) => {
      const { domains, isDelegate } = membership.view(members.clock.now());
      expect(domains.map(({ members: list }) => list.length)).toEqual([5, 5, 5, 5]);
      expect(domains.map(({ generations }) => generations)).toEqual(
        Array(4).fill([{ generation: 4, hosts: 5 }]) as never,
      );
      if (isDelegate || membership.tryGetOwner('pool-a', id.slice(0, 2))?.entryHost === id) {
        const others = domains.filter(({ failureDomain }) => failureDomain !== id.slice(0, 2));
        expect(others.flatMap(({ rooms }) => rooms.map(({ pool }) => pool))).toEqual(
          Array<string>(3).fill('pool-a'),
        );
      }
    });
  });

  it('forwards a summary received by another host to the delegates', () => {
    const members = simulateMembers({ domains: 2, hostsPerDomain: 4, seed: 5 });
    members.clock.advance(SETTLING_TIME_MILLISECONDS);
    const { delegates } = members.host('d0-h0').membership.view(0);
    const other = members.hosts().find(({ id }) => id < 'd1' && !delegates.includes(id))!;
    const message = {
      kind: 'domainSummarised' as const,
      from: 'd1-h0',
      fromAddress: 'd1-h0:1',
      status: { failureDomain: 'd1', age: 0, membersDigest: 1, generations: [] },
      rooms: { pools: [], spareTokens: [], queuedTokens: [], drained: [] },
    };
    const passedTo = (passedOn: boolean) =>
      other.membership
        .handle(
          { kind: 'peerMessageReceived', message: { ...message, passedOn } },
          members.clock.now(),
        )
        .flatMap((effect) =>
          effect.kind === 'sendToPeer' && effect.message.kind === 'domainSummarised'
            ? [effect.entryHost]
            : [],
        );
    expect(passedTo(false)).toEqual([...delegates]);
    expect(passedTo(true)).toEqual([]);
  });

  it('requests no member list while no member changes', () => {
    const members = simulateMembers({ domains: 5, hostsPerDomain: 4, seed: 5 });
    members.clock.advance(20_000);
    const asked = members.sentCounts.get('domainMembersRequested');
    members.clock.advance(20_000);
    expect(members.sentCounts.get('domainMembersRequested')).toEqual(asked);
  });

  it('moves ownership off a leaving host', () => {
    const members = simulateMembers({ domains: 1, hostsPerDomain: 3, seed: 5 });
    members.clock.advance(SETTLING_TIME_MILLISECONDS);
    const { membership } = members.host('d0-h0');
    const owner = membership.tryGetOwner('pool', 'd0')!.entryHost;
    members.deliver(owner, { kind: 'leavingChanged', leaving: true });
    members.clock.advance(10);
    expect(membership.tryGetOwner('pool', 'd0')!.entryHost).not.toEqual(owner);
    expect(membership.view(0).members.length).toEqual(3);
  });

  it('converges after crashes, pauses, failed links and message loss, with any seed', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const random = createRandom(seed);
        const members = simulateMembers({ domains: 2, hostsPerDomain: 4, seed, loss: 0.1 });
        const ids = members.hosts().map(({ id }) => id);
        const chosen = () => ids[random.integer(0, ids.length - 1)]!;
        for (let step = 0; step < 12; step += 1) {
          members.clock.advance(random.integer(100, 3_000));
          injectFault(members, random.integer(0, 4), chosen(), chosen());
        }
        members.failedLinks.clear();
        ids.forEach((id) => members.resume(id));
        ids.filter((id) => !members.host(id).running).forEach((id) => members.start(id));
        members.clock.advance(30_000);
        const digests = new Set(
          members.hosts().map(({ id, membership }) => {
            const view = membership.view(members.clock.now());
            const present = view.members.map((row) => `${row.entryHost} ${row.incarnation}`).sort();
            expect(view.members.length).toEqual(4);
            return `${id.slice(0, 2)} ${present.join()} ${view.delegates.join()}`;
          }),
        );
        expect(digests.size).toEqual(2);
      }),
      { seed: 11, numRuns: 16 },
    );
  });
});

function isNamed(name: string): (row: { readonly entryHost: string }) => boolean {
  return ({ entryHost }) => entryHost === name;
}

function listConfiguredHosts(members: SimulatedMembers) {
  return members
    .hosts()
    .map(({ id }) => ({ id, failureDomain: id.slice(0, 2), peerAddress: `${id}:1` }));
}

function injectFault(members: SimulatedMembers, kind: number, id: string, other: string): void {
  const host = members.host(id);
  if (kind === 0) {
    members.stop(id);
  } else if (kind === 1 && !host.running) {
    members.start(id);
  } else if (kind === 2) {
    members.pause(id);
  } else if (kind === 3) {
    members.resume(id);
  } else {
    members.failedLinks.add(`${id} ${other}`);
  }
}

describe(mergeRows.name, () => {
  const row = fc
    .tuple(
      fc.constantFrom('1', '2'),
      fc.integer({ min: 0, max: 2 }),
      fc.boolean(),
      fc.subarray(['a', 'b', 'c']),
    )
    .map<MemberRow>(([incarnation, version, dead, accusers]) => ({
      entryHost: 'h',
      incarnation,
      version,
      address: 'h:1',
      leaving: false,
      dead,
      accusers,
    }));
  /** The version and the accusers of a dead row have no meaning. */
  const normalise = (value: MemberRow) =>
    value.dead ? { incarnation: value.incarnation, dead: true } : value;

  it('is commutative, associative and idempotent', () => {
    fc.assert(
      fc.property(row, row, row, (left, middle, right) => {
        const merge = (one: MemberRow, two: MemberRow) => mergeRows(one, two);
        expect<unknown>(normalise(merge(left, middle))).toEqual(normalise(merge(middle, left)));
        expect<unknown>(normalise(merge(merge(left, middle), right))).toEqual(
          normalise(merge(left, merge(middle, right))),
        );
        expect<unknown>(normalise(merge(left, left))).toEqual(normalise(left));
      }),
      { seed: 11 },
    );
  });
});

describe(chooseOwner.name, () => {
  const members = Array.from({ length: 30 }, (_, index) => ({ entryHost: `host-${index}` }));
  const keys = Array.from({ length: 600 }, (_, index) => `pool-${index}`);
  const ownerOf = (key: string, list = members) => chooseOwner(key, list)!.entryHost;

  it('moves only the keys of a removed member', () => {
    const removedHost = members[7]!.entryHost;
    const rest = members.filter(({ entryHost }) => entryHost !== removedHost);
    const moved = keys.filter((key) => ownerOf(key) !== ownerOf(key, rest));
    expect(moved).toEqual(keys.filter((key) => ownerOf(key) === removedHost));
  });

  it('distributes keys over members', () => {
    const owners = keys.map((key) => ownerOf(key));
    const counts = members.map(
      ({ entryHost }) => owners.filter((owner) => owner === entryHost).length,
    );
    expect(Math.max(...counts)).toBeLessThan(3 * (keys.length / members.length));
  });

  it('returns undefined without members', () => {
    expect(chooseOwner('key', [])).toEqual(undefined);
  });
});

describe(createIncarnation.name, () => {
  it('creates incarnations that sort by order', () => {
    const random = createRandom(1);
    const incarnations = [5, 40, 1_800_000_000_000].map((order) =>
      createIncarnation(order, random),
    );
    expect(incarnations.toSorted()).toEqual(incarnations);
  });
});
