import type { DeploymentStatus, DomainStatus, HostStatus } from '@rattanreel/administration';
import { summarisePropagation } from '@rattanreel/configuration';
import type { DeploymentSettings } from '@rattanreel/configuration';
import { Debug } from '@rattanreel/core';
import type { MembershipView } from '@rattanreel/membership';
import type { HostTasks } from '../types';

function describeHosts(settings: DeploymentSettings, view: MembershipView): readonly HostStatus[] {
  return settings.entryHosts.map(({ id, failureDomain }) => {
    const member = view.members.find(({ entryHost }) => entryHost === id);
    const remoteMember = view.domains
      .find((domain) => domain.failureDomain === failureDomain)
      ?.members.find(({ entryHost }) => entryHost === id);
    const known = member ?? remoteMember;
    const aliveState = member?.state ?? 'alive';
    const state = known?.leaving ? 'leaving' : aliveState;
    return {
      id,
      failureDomain,
      incarnation: known?.incarnation,
      state: known === undefined ? 'notSeen' : state,
      drained: settings.drained.entryHosts.includes(id),
    };
  });
}

function describeDomains(
  settings: DeploymentSettings,
  view: MembershipView,
  hosts: readonly HostStatus[],
): readonly DomainStatus[] {
  return settings.failureDomains.map(({ id, region }) => ({
    id,
    region,
    drained: settings.drained.failureDomains.includes(id),
    hostsAlive: hosts.filter((host) => host.failureDomain === id && host.state === 'alive').length,
    age: view.domains.find((domain) => domain.failureDomain === id)?.age,
  }));
}

/** Describes the deployment as this host sees it; throws before the first configuration. */
export default function describeDeployment(tasks: HostTasks): DeploymentStatus {
  const status = Debug.checkDefined(
    tasks.configuration.tryGetReplica()?.status(),
    'configuration status',
  );
  const accepted = Debug.checkDefined(status.activeConfiguration, 'configuration in force');
  const settings = Debug.checkDefined(status.settings, 'settings');
  const view = tasks.membership.view();
  const hosts = describeHosts(settings, view);
  return {
    deployment: settings.deployment,
    answeredBy: view.self.entryHost,
    configuration: summarisePropagation(accepted, view.domains),
    localDrains: status.localDrains.map(({ target }) => target),
    failureDomains: describeDomains(settings, view, hosts),
    hosts,
    pools: tasks.schedulers.getSummaries(),
    moves: tasks.moves.getRecords().map(({ record }) => ({
      record,
      share: record.steps[record.step]?.share ?? 0,
    })),
  };
}
