import { match } from 'ts-pattern';
import type {
  ChangeReporter,
  FailureDetector,
  MemberLists,
  MembershipContext,
  PeerReceiver,
  TableExchange,
} from './types';

interface PeerReceiverOptions {
  readonly context: MembershipContext;
  readonly detector: FailureDetector;
  readonly exchange: TableExchange;
  readonly lists: MemberLists;
  readonly changes: ChangeReporter;
}

/** Hands messages of other entry hosts to the parts that they concern. */
export default function createPeerReceiver(options: PeerReceiverOptions): PeerReceiver {
  const { context, detector, exchange, lists, changes } = options;
  const { directory, table } = context;

  return {
    receive(message, now) {
      if (message.kind !== 'heartbeat') {
        detector.heard(message.from, now);
      }
      match(message)
        .with({ kind: 'heartbeat' }, (heartbeat) => exchange.takeHeartbeat(heartbeat, now))
        .with({ kind: 'rowsChanged' }, ({ rows }) => rows.forEach((row) => table.put(row, now)))
        .with({ kind: 'syncRequested' }, (request) => {
          table.put(request.row, now);
          exchange.answerSync(request);
        })
        .with({ kind: 'synced' }, (answer) => exchange.takeSync(answer, now))
        .with({ kind: 'probe' }, ({ from }) => {
          context.send(from, { kind: 'probeAnswered', from: context.self().entryHost });
          exchange.tellAccusation(from);
        })
        .with({ kind: 'probeAnswered' }, ({ from }) => exchange.tellAccusation(from))
        .with({ kind: 'hostReported' }, (report) => directory.reported(report, now))
        .with({ kind: 'domainSummarised' }, (summary) => lists.takeSummary(summary, now))
        .with({ kind: 'domainsRelayed' }, (relayed) => {
          directory.relayed(relayed, now);
          const domains = relayed.domains.map(({ failureDomain }) => failureDomain);
          lists.request(relayed.from, domains, undefined, now);
        })
        .with({ kind: 'roomsRelayed' }, (relayed) => directory.roomsRelayed(relayed, now))
        .with({ kind: 'domainMembersRequested' }, (request) => lists.answer(request))
        .with({ kind: 'domainMembersSent' }, (sent) =>
          changes.noteGone(sent.failureDomain, directory.membersSent(sent)),
        )
        .exhaustive();
    },
  };
}
