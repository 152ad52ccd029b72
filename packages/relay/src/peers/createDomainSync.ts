import type {
  BackendServerId,
  Clock,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Timer,
} from '@rattanreel/core';
import chooseRendezvousHosts from '../decisions/chooseRendezvousHosts';
import createDomainReports from '../decisions/createDomainReports';
import isLargeFleet from '../decisions/isLargeFleet';
import sumCounts from '../decisions/sumCounts';
import type { SharedQuota } from '../decisions/types';
import type { DomainReport, HostSummary, PeerAddress } from '../types';
import type { RelayTransport } from './types';

/** Interval of the reports to the other failure domains. */
const REPORT_INTERVAL: Milliseconds = 250;
/**
 * Time for which a report is relayed within a domain: two report intervals, so that one may be
 * lost.
 */
const REPORT_RELAY_TTL: Milliseconds = 500;
/** Hosts of a failure domain that report; two, so that one may fail. */
const REPORTERS_PER_DOMAIN = 2;
/**
 * Receivers in each other failure domain; three, since one or two of the listed hosts may no longer
 * run.
 */
const RECEIVERS_PER_DOMAIN = 3;

interface DomainSyncOptions {
  readonly clock: Clock;
  readonly transport: Pick<RelayTransport, 'send'>;
  readonly quota: Pick<SharedQuota, 'recordDomainSpending' | 'getReachableSpent'>;
  readonly self: Pick<HostSummary, 'entryHost' | 'incarnation' | 'failureDomain'>;
  /** Counts the requests in flight of this host and of its reachable peers, by backend server. */
  readonly countDomainInFlight: () => ReadonlyMap<BackendServerId, number>;
  /** Lists the reachable hosts of this host's failure domain. */
  readonly listSameDomainHosts: () => readonly EntryHostId[];
}

interface DomainSync {
  setPeers(peers: readonly PeerAddress[]): void;
  /**
   * Handles a report of another failure domain, sent to this host or relayed by a same-domain host.
   */
  handleReport(message: DomainReport, via: 'sent' | 'passedOn'): void;
  /** Counts the requests in flight of the other reachable failure domains, by backend server. */
  countRemoteInFlight(): ReadonlyMap<BackendServerId, number>;
  /** Lists the reports to relay within this host's failure domain. */
  listReportsToRelay(): readonly DomainReport[];
  stop(): void;
}

/**
 * In a large fleet, reports the totals of this failure domain to the others: what it has spent of
 * each quota, and its requests in flight at each backend server. Two hosts of a domain compute the
 * totals and send them to three hosts of each other domain, which relay them with their summaries.
 * So the number of messages grows with the square of the number of domains rather than of hosts.
 */
export default function createDomainSync(options: DomainSyncOptions): DomainSync {
  const { clock, transport, quota, self } = options;
  const receivedByReporter = new Map<
    EntryHostId,
    { message: DomainReport; receivedAt: Milliseconds }
  >();
  const reports = createDomainReports();
  let peers: readonly PeerAddress[] = [];
  let timer: Timer | undefined;
  let isStopped = false;

  function isReporter(): boolean {
    const sameDomainHosts = [self.entryHost, ...options.listSameDomainHosts()];
    return (
      isLargeFleet(peers.length) &&
      chooseRendezvousHosts('domain', sameDomainHosts, REPORTERS_PER_DOMAIN).includes(
        self.entryHost,
      )
    );
  }

  function listReceivers(domain: FailureDomainId): readonly PeerAddress[] {
    const members = peers.filter(({ failureDomain }) => failureDomain === domain);
    const names = members.map(({ entryHost }) => entryHost);
    const chosen = chooseRendezvousHosts('domain', names, RECEIVERS_PER_DOMAIN);
    return members.filter(({ entryHost }) => chosen.includes(entryHost));
  }

  function sendReports(): void {
    const { entryHost, incarnation, failureDomain } = self;
    const totals = quota.getReachableSpent(clock.now());
    const message: DomainReport = {
      kind: 'domain',
      entryHost,
      incarnation,
      failureDomain,
      ...totals,
      inFlight: Object.fromEntries(options.countDomainInFlight()),
    };
    const domains = new Set(peers.map((peer) => peer.failureDomain));
    domains.delete(failureDomain);
    [...domains].flatMap(listReceivers).forEach(({ address }) => transport.send(address, message));
  }

  function reportPeriodically(): void {
    if (!isStopped) {
      if (isReporter()) {
        sendReports();
      }
      timer = clock.after(REPORT_INTERVAL, reportPeriodically);
    }
  }

  reportPeriodically();
  return {
    setPeers(next) {
      peers = next;
    },
    handleReport(message, via) {
      if (via === 'sent') {
        receivedByReporter.set(message.entryHost, { message, receivedAt: clock.now() });
      }
      reports.record(message, clock.now());
      quota.recordDomainSpending(message, clock.now());
    },
    countRemoteInFlight: () =>
      sumCounts(reports.listCurrent(clock.now()).map(({ inFlight }) => Object.entries(inFlight))),
    listReportsToRelay: () =>
      [...receivedByReporter.values()]
        .filter(({ receivedAt }) => clock.now() - receivedAt <= REPORT_RELAY_TTL)
        .map(({ message }) => message),
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
