import type { DeploymentStatus } from '@rattanreel/administration';
import runCall from '../client/runCall';
import type { Command } from '../types';

const MILLISECONDS_PER_SECOND = 1_000;

function formatStatus(body: unknown): string {
  const status = body as DeploymentStatus;
  const { acceptedGeneration, hostsInForce, hostsKnown } = status.configuration;
  const domains = status.failureDomains.map(({ id, hostsAlive, drained, age }) => {
    const reportAgeText =
      age === undefined ? 'not heard' : `${(age / MILLISECONDS_PER_SECOND).toFixed(1)} s ago`;
    return `  ${id}: ${hostsAlive} entry hosts alive, ${reportAgeText}${drained ? ', drained' : ''}`;
  });
  const hosts = status.hosts.map(
    ({ id, failureDomain, state, drained }) =>
      `  ${id} (${failureDomain}): ${state}${drained ? ', drained' : ''}`,
  );
  const pools = status.pools.flatMap(({ pool, failureDomain, summary }) => [
    `  ${pool} in ${failureDomain}: ${summary.inFlight} in flight, ${summary.queuedTokens} tokens queued`,
    ...summary.backendServers.map(
      (server) =>
        `    ${server.id} ${server.version}: ${server.standing}, ` +
        `${server.inFlight} of ${server.streamLimit} streams`,
    ),
  ]);
  const moves = status.moves.map(
    ({ record, share }) =>
      `  ${record.pool}: ${record.from} -> ${record.to}, ${record.verdict}, ` +
      `share ${share.toFixed(3)}${record.late ? ', late' : ''}`,
  );
  return [
    `${status.deployment}, answered by ${status.answeredBy}`,
    `configuration ${acceptedGeneration}: in force on ${hostsInForce} of ${hostsKnown} entry hosts`,
    'failure domains',
    ...domains,
    'entry hosts',
    ...hosts,
    'pools scheduled here',
    ...pools,
    'moves',
    ...moves,
  ].join('\n');
}

/** `status`: prints the deployment as one entry host sees it. */
const status: Command = {
  name: 'status',
  usage: 'status --host URL --token TOKEN [--json]',
  summary: 'Show the deployment as one entry host sees it',
  run: (context) => runCall(context, { method: 'GET', path: '/status' }, formatStatus),
};

export default status;
