import type {
  BackendServerId,
  Clock,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Timer,
} from '@rattanreel/core';
import chooseHosts from '../decisions/chooseHosts';
import createDomainReports from '../decisions/createDomainReports';
import isLargeFleet from '../decisions/isLargeFleet';
import sumCounts from '../decisions/sumCounts';
import type { SharedQuota } from '../decisions/types';
import type { DomainReport, HostSummary, PeerAddress } from '../types';
import type { RelayTransport } from './types';

/** Time between two reports to the other failure domains. */
const REPORT_INTERVAL: Milliseconds = 250;
/** Time for which a report is passed on within a failure domain; two reports, so that one may be lost. */
const REPORT_LIFE: Milliseconds = 500;
/** Hosts of a failure domain that report, so that one may die. */
const REPORTERS = 2;
/** Hosts of each other failure domain that are told: the list may name one or two that are gone. */
const RECEIVERS = 3;

interface DomainExchangeOptions {
  readonly clock: Clock;
  readonly transport: Pick<RelayTransport, 'send'>;
  readonly quota: Pick<SharedQuota, 'hearDomain' | 'spentTogether'>;
  readonly self: Pick<HostSummary, 'entryHost' | 'incarnation' | 'failureDomain'>;
  /** Requests in flight of this host and of those heard, by backend server. */
  readonly countTogether: () => ReadonlyMap<BackendServerId, number>;
  /** Hosts of the own failure domain that were heard lately. */
  readonly listNear: () => readonly EntryHostId[];
}

interface DomainExchange {
  setPeers(peers: readonly PeerAddress[]): void;
  /** Takes in a report of another failure domain, sent to this host or passed on by a near one. */
  hear(report: DomainReport, way: 'sent' | 'passedOn'): void;
  /** Requests in flight of the other failure domains in contact, by backend server. */
  countFar(): ReadonlyMap<BackendServerId, number>;
  /** Reports to pass on to the own failure domain. */
  listReports(): readonly DomainReport[];
  stop(): void;
}

/**
 * In a large fleet, tells the other failure domains what this one does: what it has spent of each quota,
 * and its requests in flight at each backend server. Two hosts of a domain add up and report to three
 * of each other domain, which pass it on with their summaries: the messages grow with the square of the
 * domains, not of the hosts.
 */
export default function createDomainExchange(options: DomainExchangeOptions): DomainExchange {
  const { clock, transport, quota, self } = options;
  const received = new Map<EntryHostId, { report: DomainReport; at: Milliseconds }>();
  const reports = createDomainReports();
  let peers: readonly PeerAddress[] = [];
  let timer: Timer | undefined;
  let isStopped = false;

  function isReporter(): boolean {
    const near = [self.entryHost, ...options.listNear()];
    return (
      isLargeFleet(peers.length) && chooseHosts('domain', near, REPORTERS).includes(self.entryHost)
    );
  }

  function listReceivers(domain: FailureDomainId): readonly PeerAddress[] {
    const members = peers.filter(({ failureDomain }) => failureDomain === domain);
    const names = members.map(({ entryHost }) => entryHost);
    const chosen = chooseHosts('domain', names, RECEIVERS);
    return members.filter(({ entryHost }) => chosen.includes(entryHost));
  }

  function report(): void {
    const { entryHost, incarnation, failureDomain } = self;
    const sums = quota.spentTogether(clock.now());
    const message: DomainReport = {
      kind: 'domain',
      entryHost,
      incarnation,
      failureDomain,
      ...sums,
      inFlight: Object.fromEntries(options.countTogether()),
    };
    const domains = new Set(peers.map((peer) => peer.failureDomain));
    domains.delete(failureDomain);
    [...domains].flatMap(listReceivers).forEach(({ address }) => transport.send(address, message));
  }

  function reportOn(): void {
    if (!isStopped) {
      if (isReporter()) {
        report();
      }
      timer = clock.after(REPORT_INTERVAL, reportOn);
    }
  }

  reportOn();
  return {
    setPeers(next) {
      peers = next;
    },
    hear(message, way) {
      if (way === 'sent') {
        received.set(message.entryHost, { report: message, at: clock.now() });
      }
      reports.note(message, clock.now());
      quota.hearDomain(message, clock.now());
    },
    countFar: () =>
      sumCounts(reports.list(clock.now()).map(({ inFlight }) => Object.entries(inFlight))),
    listReports: () =>
      [...received.values()]
        .filter(({ at }) => clock.now() - at <= REPORT_LIFE)
        .map(({ report: kept }) => kept),
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
