import type {
  EntryHostId,
  FailureDomainId,
  Generation,
  Milliseconds,
  PoolId,
} from '@rattanreel/core';
import columnsToRooms from './columnsToRooms';
import digestOfMembers from './digestOfMembers';
import roomsToColumns from './roomsToColumns';
import type {
  DomainDirectory,
  DomainMember,
  DomainStatus,
  GenerationCount,
  NeighbourRoomColumns,
  PoolRoom,
} from './types';

const NO_MEMBERS: readonly DomainMember[] = [];

interface DomainDirectoryOptions {
  readonly failureDomain: FailureDomainId;
}

interface HostReport {
  readonly generation: Generation;
  readonly rooms: readonly PoolRoom[];
  readonly heardAt: Milliseconds;
}

interface HeardRoom extends PoolRoom {
  readonly heardAt: Milliseconds;
}

interface KnownDomain {
  status: DomainStatus | undefined;
  /** Time of the status less its age. */
  heardAt: Milliseconds;
  members: readonly DomainMember[];
  membersDigest: number | undefined;
  readonly rooms: Map<PoolId, HeardRoom>;
}

/** Keeps what delegates say of failure domains, and sums up the own one. */
export default function createDomainDirectory(options: DomainDirectoryOptions): DomainDirectory {
  const reports = new Map<EntryHostId, HostReport>();
  const domains = new Map<FailureDomainId, KnownDomain>();

  function domainOf(failureDomain: FailureDomainId): KnownDomain {
    let domain = domains.get(failureDomain);
    if (domain === undefined) {
      domain = createKnownDomain();
      domains.set(failureDomain, domain);
    }
    return domain;
  }

  /** Keeps the younger of two accounts; relays may bring an older one later. */
  function takeStatus(status: DomainStatus, now: Milliseconds): void {
    const domain = domainOf(status.failureDomain);
    const heardAt = now - status.age;
    if (domain.status === undefined || heardAt >= domain.heardAt) {
      domain.status = status;
      domain.heardAt = heardAt;
    }
  }

  function takeRoom(
    failureDomain: FailureDomainId,
    room: PoolRoom,
    age: Milliseconds,
    now: Milliseconds,
  ): void {
    const { rooms } = domainOf(failureDomain);
    const heardAt = now - age;
    const known = rooms.get(room.pool);
    if (known === undefined || heardAt >= known.heardAt) {
      rooms.set(room.pool, { ...room, heardAt });
    }
  }

  function neighboursOfPool(pool: PoolId, now: Milliseconds): NeighbourRoomColumns {
    const known = [...domains]
      .filter(([failureDomain]) => failureDomain !== options.failureDomain)
      .flatMap(([failureDomain, { rooms }]) => {
        const room = rooms.get(pool);
        return room === undefined ? [] : [{ failureDomain, room }];
      });
    return neighboursToColumns(pool, known, now);
  }

  return {
    reported(message, now) {
      const rooms = columnsToRooms(message.rooms);
      reports.set(message.from, { generation: message.generation, rooms, heardAt: now });
    },
    summarised(message, now) {
      const { failureDomain, age } = message.status;
      takeStatus(message.status, now);
      columnsToRooms(message.rooms).forEach((room) => takeRoom(failureDomain, room, age, now));
    },
    relayed(message, now) {
      message.domains.forEach((status) => takeStatus(status, now));
    },
    roomsRelayed(message, now) {
      message.rooms.forEach((columns) => {
        columns.failureDomains.forEach((failureDomain, index) => {
          const room: PoolRoom = {
            pool: columns.pool,
            spareTokens: columns.spareTokens[index] ?? 0,
            queuedTokens: columns.queuedTokens[index] ?? 0,
            drained: columns.drained[index] ?? true,
          };
          takeRoom(failureDomain, room, columns.ages[index] ?? 0, now);
        });
      });
    },
    membersSent(message) {
      const domain = domainOf(message.failureDomain);
      if (message.digest !== domain.status?.membersDigest) {
        return NO_MEMBERS;
      }
      const previous = domain.members;
      domain.members = message.members;
      domain.membersDigest = message.digest;
      return previous.filter(
        ({ entryHost, incarnation }) =>
          !message.members.some(
            (member) => member.entryHost === entryHost && member.incarnation === incarnation,
          ),
      );
    },
    membersOf: (failureDomain) => domains.get(failureDomain)?.members ?? NO_MEMBERS,
    outdated: () =>
      [...domains]
        .filter(([failureDomain]) => failureDomain !== options.failureDomain)
        .filter(([, { status, membersDigest }]) => status && status.membersDigest !== membersDigest)
        .map(([failureDomain]) => failureDomain),
    statuses: (now) =>
      [...domains.values()]
        .filter(({ status }) => status !== undefined)
        .map(({ status, heardAt }) => ({ ...status!, age: Math.round(now - heardAt) })),
    rooms: (failureDomain, now) =>
      [...(domains.get(failureDomain)?.rooms.values() ?? [])].map(({ heardAt, ...room }) => ({
        ...room,
        age: now - heardAt,
      })),
    neighboursFor: (entryHost, now) =>
      (reports.get(entryHost)?.rooms ?? [])
        .map(({ pool }) => neighboursOfPool(pool, now))
        .filter(({ failureDomains }) => failureDomains.length > 0),
    summarise(members, now) {
      const present = new Set(members.map(({ entryHost }) => entryHost));
      [...reports.keys()]
        .filter((host) => !present.has(host))
        .forEach((host) => reports.delete(host));
      const status: DomainStatus = {
        failureDomain: options.failureDomain,
        age: 0,
        membersDigest: digestOfMembers(members),
        generations: countGenerations([...reports.values()]),
      };
      takeStatus(status, now);
      return { status, rooms: roomsToColumns(latestRooms([...reports.values()])) };
    },
    ageOf(failureDomain, now) {
      const domain = domains.get(failureDomain);
      return domain?.status === undefined ? undefined : now - domain.heardAt;
    },
  };
}

function countGenerations(reports: readonly HostReport[]): readonly GenerationCount[] {
  const counts = new Map<Generation, number>();
  reports.forEach(({ generation }) => counts.set(generation, (counts.get(generation) ?? 0) + 1));
  return [...counts]
    .sort(([left], [right]) => left - right)
    .map(([generation, hosts]) => ({ generation, hosts }));
}

/** One room a pool: the one reported last, since two hosts may schedule a pool for a moment. */
function latestRooms(reports: readonly HostReport[]): readonly PoolRoom[] {
  const latest = new Map<PoolId, HeardRoom>();
  for (const { rooms, heardAt } of reports) {
    for (const room of rooms) {
      const known = latest.get(room.pool);
      if (known === undefined || heardAt > known.heardAt) {
        latest.set(room.pool, { ...room, heardAt });
      }
    }
  }
  return [...latest.values()].map(({ heardAt: _, ...room }) => room);
}

interface NeighbourRoom {
  readonly failureDomain: FailureDomainId;
  readonly room: HeardRoom;
}

function neighboursToColumns(
  pool: PoolId,
  known: readonly NeighbourRoom[],
  now: Milliseconds,
): NeighbourRoomColumns {
  return {
    pool,
    failureDomains: known.map(({ failureDomain }) => failureDomain),
    ages: known.map(({ room }) => Math.round(now - room.heardAt)),
    spareTokens: known.map(({ room }) => room.spareTokens),
    queuedTokens: known.map(({ room }) => room.queuedTokens),
    drained: known.map(({ room }) => room.drained),
  };
}

function createKnownDomain(): KnownDomain {
  return {
    status: undefined,
    heardAt: 0,
    members: NO_MEMBERS,
    membersDigest: undefined,
    rooms: new Map(),
  };
}
