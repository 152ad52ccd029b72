import type {
  EntryHostId,
  FailureDomainId,
  Generation,
  Milliseconds,
  PoolId,
} from '@rattanreel/core';
import columnsToCapacities from './columnsToCapacities';
import computeMembersDigest from './computeMembersDigest';
import capacitiesToColumns from './capacitiesToColumns';
import type {
  DomainDirectory,
  DomainMember,
  DomainStatus,
  GenerationCount,
  RemoteCapacityColumns,
  PoolCapacity,
} from './types';

const NO_MEMBERS: readonly DomainMember[] = [];

interface DomainDirectoryOptions {
  readonly failureDomain: FailureDomainId;
}

interface HostReport {
  readonly generation: Generation;
  readonly capacities: readonly PoolCapacity[];
  readonly heardAt: Milliseconds;
}

interface ReceivedCapacity extends PoolCapacity {
  readonly heardAt: Milliseconds;
}

interface DomainState {
  status: DomainStatus | undefined;
  /** Time at which the status was current: its receipt minus its age. */
  heardAt: Milliseconds;
  members: readonly DomainMember[];
  membersDigest: number | undefined;
  readonly capacities: Map<PoolId, ReceivedCapacity>;
}

/** Stores what delegates report about failure domains, and summarises this host's own domain. */
export default function createDomainDirectory(options: DomainDirectoryOptions): DomainDirectory {
  const reports = new Map<EntryHostId, HostReport>();
  const domains = new Map<FailureDomainId, DomainState>();

  function getOrCreateDomain(failureDomain: FailureDomainId): DomainState {
    let domain = domains.get(failureDomain);
    if (domain === undefined) {
      domain = createDomainState();
      domains.set(failureDomain, domain);
    }
    return domain;
  }

  /** Keeps the more recent of two statuses: relays may deliver an older one later. */
  function updateStatus(status: DomainStatus, now: Milliseconds): void {
    const domain = getOrCreateDomain(status.failureDomain);
    const heardAt = now - status.age;
    if (domain.status === undefined || heardAt >= domain.heardAt) {
      domain.status = status;
      domain.heardAt = heardAt;
    }
  }

  function updateCapacity(
    failureDomain: FailureDomainId,
    capacity: PoolCapacity,
    age: Milliseconds,
    now: Milliseconds,
  ): void {
    const { capacities } = getOrCreateDomain(failureDomain);
    const heardAt = now - age;
    const previous = capacities.get(capacity.pool);
    if (previous === undefined || heardAt >= previous.heardAt) {
      capacities.set(capacity.pool, { ...capacity, heardAt });
    }
  }

  function listRemoteCapacitiesOfPool(pool: PoolId, now: Milliseconds): RemoteCapacityColumns {
    const remoteCapacities = [...domains]
      .filter(([failureDomain]) => failureDomain !== options.failureDomain)
      .flatMap(([failureDomain, { capacities }]) => {
        const capacity = capacities.get(pool);
        return capacity === undefined ? [] : [{ failureDomain, capacity }];
      });
    return remoteCapacitiesToColumns(pool, remoteCapacities, now);
  }

  return {
    recordReport(message, now) {
      const capacities = columnsToCapacities(message.rooms);
      reports.set(message.from, { generation: message.generation, capacities, heardAt: now });
    },
    recordSummary(message, now) {
      const { failureDomain, age } = message.status;
      updateStatus(message.status, now);
      columnsToCapacities(message.rooms).forEach((capacity) =>
        updateCapacity(failureDomain, capacity, age, now),
      );
    },
    recordStatuses(message, now) {
      message.domains.forEach((status) => updateStatus(status, now));
    },
    recordRemoteCapacities(message, now) {
      message.rooms.forEach((columns) => {
        columns.failureDomains.forEach((failureDomain, index) => {
          const capacity: PoolCapacity = {
            pool: columns.pool,
            spareTokens: columns.spareTokens[index] ?? 0,
            queuedTokens: columns.queuedTokens[index] ?? 0,
            drained: columns.drained[index] ?? true,
          };
          updateCapacity(failureDomain, capacity, columns.ages[index] ?? 0, now);
        });
      });
    },
    updateMembers(message) {
      const domain = getOrCreateDomain(message.failureDomain);
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
    listOutdatedDomains: () =>
      [...domains]
        .filter(([failureDomain]) => failureDomain !== options.failureDomain)
        .filter(([, { status, membersDigest }]) => status && status.membersDigest !== membersDigest)
        .map(([failureDomain]) => failureDomain),
    listStatuses: (now) =>
      [...domains.values()]
        .filter(({ status }) => status !== undefined)
        .map(({ status, heardAt }) => ({ ...status!, age: Math.round(now - heardAt) })),
    listCapacities: (failureDomain, now) =>
      [...(domains.get(failureDomain)?.capacities.values() ?? [])].map(
        ({ heardAt, ...capacity }) => ({
          ...capacity,
          age: now - heardAt,
        }),
      ),
    listRemoteCapacitiesFor: (entryHost, now) =>
      (reports.get(entryHost)?.capacities ?? [])
        .map(({ pool }) => listRemoteCapacitiesOfPool(pool, now))
        .filter(({ failureDomains }) => failureDomains.length > 0),
    summariseOwnDomain(members, now) {
      const present = new Set(members.map(({ entryHost }) => entryHost));
      [...reports.keys()]
        .filter((host) => !present.has(host))
        .forEach((host) => reports.delete(host));
      const status: DomainStatus = {
        failureDomain: options.failureDomain,
        age: 0,
        membersDigest: computeMembersDigest(members),
        generations: countGenerations([...reports.values()]),
      };
      updateStatus(status, now);
      return { status, rooms: capacitiesToColumns(selectLatestCapacities([...reports.values()])) };
    },
    tryGetStatusAge(failureDomain, now) {
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

/**
 * Returns one capacity per pool, the one reported last: two hosts may schedule a pool at the same
 * time for a moment.
 */
function selectLatestCapacities(reports: readonly HostReport[]): readonly PoolCapacity[] {
  const latest = new Map<PoolId, ReceivedCapacity>();
  for (const { capacities, heardAt } of reports) {
    for (const capacity of capacities) {
      const previous = latest.get(capacity.pool);
      if (previous === undefined || heardAt > previous.heardAt) {
        latest.set(capacity.pool, { ...capacity, heardAt });
      }
    }
  }
  return [...latest.values()].map(({ heardAt: _, ...capacity }) => capacity);
}

interface RemoteCapacity {
  readonly failureDomain: FailureDomainId;
  readonly capacity: ReceivedCapacity;
}

function remoteCapacitiesToColumns(
  pool: PoolId,
  remoteCapacities: readonly RemoteCapacity[],
  now: Milliseconds,
): RemoteCapacityColumns {
  return {
    pool,
    failureDomains: remoteCapacities.map(({ failureDomain }) => failureDomain),
    ages: remoteCapacities.map(({ capacity }) => Math.round(now - capacity.heardAt)),
    spareTokens: remoteCapacities.map(({ capacity }) => capacity.spareTokens),
    queuedTokens: remoteCapacities.map(({ capacity }) => capacity.queuedTokens),
    drained: remoteCapacities.map(({ capacity }) => capacity.drained),
  };
}

function createDomainState(): DomainState {
  return {
    status: undefined,
    heardAt: 0,
    members: NO_MEMBERS,
    membersDigest: undefined,
    capacities: new Map(),
  };
}
