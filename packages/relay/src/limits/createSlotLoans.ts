import { createHash } from 'node:crypto';
import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type { SlotLoanReport } from '../types';
import type { SlotLoans } from './types';

/**
 * Without a message of a slot's owner for this long, nothing more is sent on the slot: the owner may
 * have started again, and no longer know that it is lent. A new process lends and uses none of its
 * slots for as long.
 */
const MAXIMUM_SILENCE: Milliseconds = 2_000;
/** Slots lent to a host are the owner's again once it has not been registered for this long. */
const FORGET_AFTER: Milliseconds = 10_000;
/** Counts that have not changed for this long, and are settled, are not reported. */
const REPORT_TIME: Milliseconds = 5_000;
const OWNERS_DIGEST_BYTES = 6;

/** Slots lent between this host and another, by address; all counts only rise. */
interface Counts {
  lent: number;
  lentReturned: number;
  borrowed: number;
  borrowedReturned: number;
  changedAt: Milliseconds;
}

interface Partner {
  readonly incarnation: string;
  readonly formerIncarnation: string | undefined;
  readonly countsByAddress: Map<string, Counts>;
  owners: string;
  heardAt: Milliseconds;
  /** Since when it is not registered; undefined while it is. */
  absentSince: Milliseconds | undefined;
}

interface SlotLoansOptions {
  readonly ownName: EntryHostId;
  readonly incarnation: string;
  readonly startedAt: Milliseconds;
}

function getOutstanding({ lent, lentReturned }: Counts): number {
  return lent - lentReturned;
}

function getHeld({ borrowed, borrowedReturned }: Counts): number {
  return borrowed - borrowedReturned;
}

function getCounts({ countsByAddress }: Partner, address: string, now: Milliseconds): Counts {
  let counts = countsByAddress.get(address);
  if (counts === undefined) {
    counts = { lent: 0, lentReturned: 0, borrowed: 0, borrowedReturned: 0, changedAt: now };
    countsByAddress.set(address, counts);
  }
  return counts;
}

function mergeCounts(
  partner: Partner,
  { lent, returned }: SlotLoanReport['partners'][string],
  now: Milliseconds,
): void {
  Object.entries(lent).forEach(([address, count]) => {
    const counts = getCounts(partner, address, now);
    // A settled count that is reported may be one whose return the owner has missed.
    if (count > counts.borrowed || getHeld(counts) === 0) {
      counts.changedAt = now;
    }
    counts.borrowed = Math.max(counts.borrowed, count);
  });
  Object.entries(returned).forEach(([address, count]) => {
    const counts = getCounts(partner, address, now);
    counts.lentReturned = Math.max(counts.lentReturned, Math.min(count, counts.lent));
  });
}

/**
 * Holds the slots of brittle servers that their owners have lent to hosts with more requests than
 * slots. For each pair of hosts the owner counts what it has lent, and the borrower what it has
 * returned. Each learns the other's count later than it rises, so the slots that both may use never
 * exceed those of the owner, whichever messages are lost, repeated or late.
 */
export default function createSlotLoans(options: SlotLoansOptions): SlotLoans {
  const { ownName, incarnation, startedAt } = options;
  const partners = new Map<EntryHostId, Partner>();
  let owners = '';
  let registered: ReadonlySet<EntryHostId> = new Set();

  /** Returns the partner of this incarnation; undefined if the message is of a former one. */
  function tryGetPartner(
    from: EntryHostId,
    report: SlotLoanReport,
    now: Milliseconds,
  ): Partner | undefined {
    const known = partners.get(from);
    if (known?.formerIncarnation === report.incarnation) {
      return undefined;
    }
    if (known?.incarnation === report.incarnation) {
      return known;
    }
    const partner: Partner = {
      incarnation: report.incarnation,
      formerIncarnation: known?.incarnation,
      countsByAddress: new Map(),
      owners: report.owners,
      heardAt: now,
      absentSince: registered.has(from) ? undefined : now,
    };
    partners.set(from, partner);
    return partner;
  }

  function isStarting(now: Milliseconds): boolean {
    return now - startedAt < MAXIMUM_SILENCE;
  }

  function mayUse(partner: Partner, now: Milliseconds): boolean {
    return partner.owners === owners && now - partner.heardAt <= MAXIMUM_SILENCE;
  }

  return {
    setOwners(next, registeredHosts, now) {
      const digest = createHash('sha256').update(JSON.stringify([...new Set(next)].sort()));
      owners = digest.digest().subarray(0, OWNERS_DIGEST_BYTES).toString('base64url');
      registered = new Set(registeredHosts);
      partners.forEach((partner, host) => {
        partner.absentSince = registered.has(host) ? undefined : (partner.absentSince ?? now);
      });
    },
    getUsable({ address, home, now, isExcluded = () => false }) {
      let lent = 0;
      let borrowed = 0;
      partners.forEach((partner, host) => {
        const counts = partner.countsByAddress.get(address);
        if (counts === undefined) {
          return;
        }
        const isGone = now - (partner.absentSince ?? now) > FORGET_AFTER;
        lent += isGone ? 0 : getOutstanding(counts);
        borrowed += mayUse(partner, now) && !isExcluded(host) ? getHeld(counts) : 0;
      });
      return (isStarting(now) ? 0 : Math.max(home - lent, 0)) + borrowed;
    },
    listBorrowed: (address, now) =>
      [...partners].flatMap(([host, partner]) => {
        const counts = partner.countsByAddress.get(address);
        const slots = counts === undefined ? 0 : getHeld(counts);
        return slots === 0 ? [] : [{ host, slots, isUsable: mayUse(partner, now) }];
      }),
    tryLend(host, { address, home, now }) {
      const partner = partners.get(host);
      const lent = [...partners.values()].reduce((sum, { countsByAddress }) => {
        const counts = countsByAddress.get(address);
        return sum + (counts === undefined ? 0 : getOutstanding(counts));
      }, 0);
      if (partner === undefined || partner.absentSince !== undefined || !mayUse(partner, now)) {
        return false;
      }
      if (isStarting(now) || lent >= home) {
        return false;
      }
      const counts = getCounts(partner, address, now);
      counts.lent += 1;
      counts.changedAt = now;
      return true;
    },
    giveBack(host, address, now) {
      const counts = partners.get(host)?.countsByAddress.get(address);
      if (counts !== undefined && getHeld(counts) > 0) {
        counts.borrowedReturned += 1;
        counts.changedAt = now;
      }
    },
    merge(from, report, now) {
      const partner = tryGetPartner(from, report, now);
      if (partner === undefined) {
        return;
      }
      partner.owners = report.owners;
      partner.heardAt = now;
      const own = report.partners[ownName];
      if (own?.incarnation === incarnation) {
        mergeCounts(partner, own, now);
      }
    },
    countLoans() {
      const all = [...partners.values()].flatMap(({ countsByAddress }) => [
        ...countsByAddress.values(),
      ]);
      return {
        lent: all.reduce((sum, counts) => sum + getOutstanding(counts), 0),
        borrowed: all.reduce((sum, counts) => sum + getHeld(counts), 0),
      };
    },
    getReport(now) {
      const reported = [...partners].flatMap(([host, partner]) => {
        const counts = [...partner.countsByAddress].filter(
          ([, each]) =>
            getOutstanding(each) + getHeld(each) > 0 || now - each.changedAt <= REPORT_TIME,
        );
        if (counts.length === 0) {
          return [];
        }
        const lent = counts.filter(([, each]) => each.lent > 0);
        const returned = counts.filter(([, each]) => each.borrowedReturned > 0);
        const entry = {
          incarnation: partner.incarnation,
          lent: Object.fromEntries(lent.map(([address, each]) => [address, each.lent])),
          returned: Object.fromEntries(
            returned.map(([address, each]) => [address, each.borrowedReturned]),
          ),
        };
        return [[host, entry] as const];
      });
      return { incarnation, owners, partners: Object.fromEntries(reported) };
    },
  };
}
