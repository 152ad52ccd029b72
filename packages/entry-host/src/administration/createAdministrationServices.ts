import type { AdministrationServices, ExplainedDecision } from '@rattanreel/administration';
import type { ConfigurationStatus, SettingsChange } from '@rattanreel/configuration';
import { fail } from '@rattanreel/core';
import type { RequestId } from '@rattanreel/core';
import type { HostContext, HostTasks, HostTransport } from '../types';
import createMoveCommands from './createMoveCommands';
import describeDeployment from './describeDeployment';

const EXPLAIN_TIMEOUT_MS = 1_000;

/** Makes a restore also end the local drains of its target that the store does not hold yet. */
function withLocalDrains(change: SettingsChange, status: ConfigurationStatus): SettingsChange {
  if (change.kind !== 'restore') {
    return change;
  }
  const { kind, id } = change.target;
  const localDrains = status.localDrains
    .filter(({ target }) => target.kind === kind && target.id === id)
    .map((drain) => drain.id);
  return { ...change, localDrains };
}

/** Connects the administration API to the tasks of this entry host. */
export default function createAdministrationServices(
  context: HostContext,
  tasks: HostTasks,
  transport: HostTransport,
): AdministrationServices {
  const { configuration, moves } = tasks;
  const { settings: hostSettings, store, clock, decisions } = context;
  const moveCommands = createMoveCommands(store, configuration.tryGetSettings, () =>
    clock.wallTime().getTime(),
  );

  function getLocalDecisions(request: RequestId): readonly ExplainedDecision[] {
    return decisions
      .decisionsOf(request)
      .map((recorded) => ({ ...recorded, entryHost: hostSettings.entryHost }));
  }

  async function fetchDecisions(
    address: string,
    entryHost: string,
    request: RequestId,
  ): Promise<readonly ExplainedDecision[]> {
    const answer = await transport.ask(address, { kind: 'decisions', request }, EXPLAIN_TIMEOUT_MS);
    return answer.kind === 'ok' && answer.value.kind === 'decisions'
      ? answer.value.decisions.map((recorded) => ({ ...recorded, entryHost }))
      : [];
  }

  return {
    tryFindAdministrator: (token) => configuration.tryGetSettings()?.tryFindAdministrator(token),
    tryGetSettings() {
      const status = configuration.tryGetReplica()?.status();
      return status?.activeConfiguration === undefined || status.settings === undefined
        ? undefined
        : { generation: status.activeConfiguration.generation, settings: status.settings };
    },
    status: () => describeDeployment(tasks),
    async changeSettings(change, author, changeId, basedOn) {
      const replica = configuration.tryGetReplica();
      const current = replica?.status().activeConfiguration;
      if (replica === undefined || current === undefined) {
        return fail({ kind: 'noConfiguration' });
      }
      if (basedOn !== undefined && basedOn !== current.generation) {
        return fail({ kind: 'changeConflict', basedOn, current, differences: [] });
      }
      return replica.apply({ change: withLocalDrains(change, replica.status()), author, changeId });
    },
    drainLocally: (target, author, id) =>
      configuration.handle({ kind: 'localDrainRequested', drain: { id, target, author } }),
    startMove: moveCommands.start,
    async cancelMove(pool, operator) {
      const stored = moves.tryGetRecord(pool);
      if (stored !== undefined) {
        // A restriction takes effect at once, even while the store is unavailable.
        moves.cancel(pool, stored, operator);
      }
      return moveCommands.cancel(pool);
    },
    async explain(request) {
      const otherHosts = configuration
        .tryGetSettings()
        ?.settings.entryHosts.filter(({ id }) => id !== hostSettings.entryHost);
      const remoteDecisions = await Promise.all(
        (otherHosts ?? []).map(({ id, peerAddress }) => fetchDecisions(peerAddress, id, request)),
      );
      return [...getLocalDecisions(request), ...remoteDecisions.flat()].sort((left, right) =>
        left.at < right.at ? -1 : 1,
      );
    },
    getRecentDecisions: decisions.recent,
  };
}
