import type { FailureDomainId, Incarnation, PoolId } from '@rattanreel/core';
import { createPoolScheduler } from '@rattanreel/scheduling';
import type { MembersChanged, VersionShare } from '@rattanreel/scheduling';
import type { LoadPoller, LocalSchedulers, LocalSchedulersOptions, SchedulerTask } from './types';
import type { SettingsView } from '../types';
import buildPoolChanged from './buildPoolChanged';
import createLoadPoller from './createLoadPoller';
import createSchedulerTask from './createSchedulerTask';

interface ScheduledPool {
  readonly task: SchedulerTask;
  readonly pollers: Map<string, LoadPoller>;
}

function getDefaultShares(view: SettingsView, pool: PoolId): readonly VersionShare[] {
  const settings = view.settings.pools.find(({ id }) => id === pool);
  return settings === undefined ? [] : [{ version: settings.currentVersion, share: 1 }];
}

/**
 * Runs the schedulers of those pools of this failure domain that are assigned to this entry host.
 */
export default function createLocalSchedulers(options: LocalSchedulersOptions): LocalSchedulers {
  const { failureDomain, membership, clock, random, engineClient } = options;
  const scheduled = new Map<PoolId, ScheduledPool>();
  const knownSchedulers = new Map<string, Incarnation>();
  let members: MembersChanged = { kind: 'membersChanged', alive: [], dead: [] };

  function startPool(pool: PoolId): ScheduledPool {
    const scheduler = createPoolScheduler({
      pool,
      failureDomain,
      // The previous scheduler of the pool may have left requests in flight.
      needsHandover: true,
      startedAt: clock.now(),
      seed: random.integer(0, 0x7fff_ffff),
    });
    const task = createSchedulerTask({
      pool,
      failureDomain,
      clock,
      scheduler,
      decisions: options.decisions,
      sendToHost: (message) => options.sendToHost(pool, message),
      cancelAtBackendServer: options.cancelAtBackendServer,
      receiveEvidence: (evidence) => options.receiveEvidence(pool, evidence),
    });
    const entry = { task, pollers: new Map<string, LoadPoller>() };
    scheduled.set(pool, entry);
    task.handle({ ...members, dead: [] });
    return entry;
  }

  function stopPool(pool: PoolId, entry: ScheduledPool): void {
    entry.task.close();
    entry.pollers.forEach((poller) => poller.close());
    scheduled.delete(pool);
  }

  function updatePollers(view: SettingsView, pool: PoolId, entry: ScheduledPool): void {
    const servers = view.getBackendServers(pool, failureDomain);
    const isModel = view.settings.pools.some(({ id, kind }) => id === pool && kind === 'model');
    for (const [id, poller] of entry.pollers) {
      if (!servers.some((server) => server.id === id)) {
        poller.close();
        entry.pollers.delete(id);
      }
    }
    for (const { id, address } of servers) {
      if (!entry.pollers.has(id)) {
        const poller = createLoadPoller({
          backendServer: id,
          address,
          publishesCacheEvents: isModel,
          clock,
          engineClient,
          report: entry.task.handle,
        });
        entry.pollers.set(id, poller);
      }
    }
  }

  function updatePool(view: SettingsView, pool: PoolId): void {
    const scheduler = membership.tryGetScheduler(pool, failureDomain);
    if (scheduler?.incarnation === membership.self().incarnation) {
      const entry = scheduled.get(pool) ?? startPool(pool);
      const shares = options.tryGetShares(pool) ?? getDefaultShares(view, pool);
      entry.task.handle(
        buildPoolChanged(view, pool, failureDomain, shares, options.getRemotePools(pool)),
      );
      updatePollers(view, pool, entry);
    } else {
      const entry = scheduled.get(pool);
      if (entry !== undefined) {
        stopPool(pool, entry);
      }
    }
  }

  /** Detects that the scheduler of a pool has moved, here or in another failure domain. */
  function detectSchedulerChange(pool: PoolId, domain: FailureDomainId): void {
    const scheduler = membership.tryGetScheduler(pool, domain);
    const poolKey = `${domain} ${pool}`;
    if (scheduler !== undefined && knownSchedulers.get(poolKey) !== scheduler.incarnation) {
      knownSchedulers.set(poolKey, scheduler.incarnation);
      options.onSchedulerChanged(pool, domain);
    }
  }

  return {
    update() {
      const view = options.tryGetSettings();
      if (view === undefined) {
        return;
      }
      const pools = new Set(
        view.settings.backendServers
          .filter((server) => server.failureDomain === failureDomain)
          .map((server) => server.pool),
      );
      pools.forEach((pool) => updatePool(view, pool));
      for (const { pool, failureDomain: domain } of view.settings.backendServers) {
        detectSchedulerChange(pool, domain);
      }
    },
    handleMembersChanged(message) {
      members = message;
      scheduled.forEach(({ task }) => task.handle(message));
      this.update();
    },
    tryGetTask: (pool) => scheduled.get(pool)?.task,
    getSummaries: () =>
      [...scheduled].map(([pool, { task }]) => ({
        pool,
        failureDomain,
        summary: task.getSummary(),
      })),
    getPoolCapacities() {
      const drained = options.tryGetSettings()?.settings.drained.failureDomains ?? [];
      return [...scheduled].map(([pool, { task }]) => {
        const { spareTokens, queuedTokens } = task.getSummary();
        return { pool, spareTokens, queuedTokens, drained: drained.includes(failureDomain) };
      });
    },
    close() {
      scheduled.forEach((entry, pool) => stopPool(pool, entry));
    },
  };
}
