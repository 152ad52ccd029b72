import type { PoolId } from '@rattanreel/core';
import { createPoolScheduler } from '@rattanreel/scheduling';
import type { VersionShare } from '@rattanreel/scheduling';
import type {
  LoadPoller,
  SchedulerDirectory,
  SchedulerDirectoryOptions,
  SchedulerTask,
  SettingsView,
} from '../types';
import buildPoolChanged from './buildPoolChanged';
import createLoadPoller from './createLoadPoller';
import createSchedulerTask from './createSchedulerTask';

interface ScheduledPool {
  readonly task: SchedulerTask;
  readonly pollers: Map<string, LoadPoller>;
}

function defaultShares(view: SettingsView, pool: PoolId): readonly VersionShare[] {
  const settings = view.settings.pools.find(({ id }) => id === pool);
  return settings === undefined ? [] : [{ version: settings.currentVersion, share: 1 }];
}

/** Runs the schedulers of those pools of this failure domain that fall to this entry host. */
export default function createSchedulerDirectory(
  options: SchedulerDirectoryOptions,
): SchedulerDirectory {
  const { failureDomain, membership, clock, random, engines } = options;
  const scheduled = new Map<PoolId, ScheduledPool>();
  const owners = new Map<PoolId, string>();
  let started = false;

  function startPool(pool: PoolId): ScheduledPool {
    const scheduler = createPoolScheduler({
      pool,
      failureDomain,
      // Whoever scheduled the pool before may have left requests in flight.
      handover: true,
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
      takeEvidence: (evidence) => options.takeEvidence(pool, evidence),
    });
    const entry = { task, pollers: new Map<string, LoadPoller>() };
    scheduled.set(pool, entry);
    return entry;
  }

  function stopPool(pool: PoolId, entry: ScheduledPool): void {
    entry.task.close();
    entry.pollers.forEach((poller) => poller.close());
    scheduled.delete(pool);
  }

  function updatePollers(view: SettingsView, pool: PoolId, entry: ScheduledPool): void {
    const servers = view.backendServersOf(pool, failureDomain);
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
          engines,
          report: entry.task.handle,
        });
        entry.pollers.set(id, poller);
      }
    }
  }

  function updatePool(view: SettingsView, pool: PoolId): void {
    const owner = membership.tryGetScheduler(pool, failureDomain);
    if (owner?.incarnation === membership.self.incarnation) {
      const entry = scheduled.get(pool) ?? startPool(pool);
      const shares = options.tryGetShares(pool) ?? defaultShares(view, pool);
      entry.task.handle(
        buildPoolChanged(view, pool, failureDomain, shares, options.getNeighbours(pool)),
      );
      entry.task.handle({
        kind: 'membersChanged',
        alive: options.getKnownHosts(),
        dead: options.getDeadHosts(),
      });
      updatePollers(view, pool, entry);
    } else {
      const entry = scheduled.get(pool);
      if (entry !== undefined) {
        stopPool(pool, entry);
      }
    }
    if (owner !== undefined && owners.get(pool) !== owner.incarnation) {
      owners.set(pool, owner.incarnation);
      options.onSchedulerChanged(pool);
    }
  }

  return {
    update() {
      const view = options.tryGetSettings();
      if (view === undefined) {
        return;
      }
      started = true;
      const pools = new Set(
        view.settings.backendServers
          .filter((server) => server.failureDomain === failureDomain)
          .map((server) => server.pool),
      );
      pools.forEach((pool) => updatePool(view, pool));
    },
    tryGetTask: (pool) => scheduled.get(pool)?.task,
    forEachTask: (visit) => scheduled.forEach(({ task }) => visit(task)),
    isStarted: () => started,
    close() {
      scheduled.forEach((entry, pool) => stopPool(pool, entry));
    },
  };
}
