import { match } from 'ts-pattern';
import type {
  ChangeReporter,
  FailureDetector,
  MemberListExchange,
  MembershipContext,
  PeerReceiver,
  TableExchange,
} from './types';

interface PeerReceiverOptions {
  readonly context: MembershipContext;
  readonly detector: FailureDetector;
  readonly exchange: TableExchange;
  readonly memberLists: MemberListExchange;
  readonly changeReporter: ChangeReporter;
}

/** Dispatches messages of other entry hosts to the parts of the membership that handle them. */
export default function createPeerReceiver(options: PeerReceiverOptions): PeerReceiver {
  const { context, detector, exchange, memberLists, changeReporter } = options;
  const { directory, table } = context;

  return {
    receive(message, now) {
      if (message.kind !== 'heartbeat') {
        detector.recordContact(message.from, now);
      }
      match(message)
        .with({ kind: 'heartbeat' }, (heartbeat) => exchange.handleHeartbeat(heartbeat, now))
        .with({ kind: 'rowsChanged' }, ({ rows }) => rows.forEach((row) => table.merge(row, now)))
        .with({ kind: 'syncRequested' }, (request) => {
          table.merge(request.row, now);
          exchange.answerSync(request);
        })
        .with({ kind: 'synced' }, (answer) => exchange.handleSync(answer, now))
        .with({ kind: 'probe' }, ({ from }) => {
          context.send(from, { kind: 'probeAnswered', from: context.self().entryHost });
          exchange.sendAccusation(from);
        })
        .with({ kind: 'probeAnswered' }, ({ from }) => exchange.sendAccusation(from))
        .with({ kind: 'hostReported' }, (report) => directory.recordReport(report, now))
        .with({ kind: 'domainSummarised' }, (summary) => memberLists.handleSummary(summary, now))
        .with({ kind: 'domainsRelayed' }, (relayed) => {
          directory.recordStatuses(relayed, now);
          const domains = relayed.domains.map(({ failureDomain }) => failureDomain);
          memberLists.requestOutdated(relayed.from, domains, undefined, now);
        })
        .with({ kind: 'roomsRelayed' }, (relayed) => directory.recordRemoteCapacities(relayed, now))
        .with({ kind: 'domainMembersRequested' }, (request) => memberLists.answerRequest(request))
        .with({ kind: 'domainMembersSent' }, (sent) =>
          changeReporter.recordDead(sent.failureDomain, directory.updateMembers(sent)),
        )
        .exhaustive();
    },
  };
}
