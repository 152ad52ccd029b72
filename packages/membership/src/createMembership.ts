import type { Milliseconds } from '@rattanreel/core';
import { match } from 'ts-pattern';
import createChangeReporter from './createChangeReporter';
import createDomainRelay from './createDomainRelay';
import createDomainReporter from './createDomainReporter';
import createFailureDetector from './createFailureDetector';
import createMemberLists from './createMemberLists';
import createMembershipContext from './createMembershipContext';
import createOwnRow from './createOwnRow';
import createPeerReceiver from './createPeerReceiver';
import createTableExchange from './createTableExchange';
import describeMembership from './describeMembership';
import type {
  MemberRow,
  Membership,
  MembershipEffect,
  MembershipMessage,
  MembershipOptions,
  OwnRowHolder,
  PeerMessageReceived,
} from './types';

/** Creates the membership of one entry host; see docs/decisions/membership.md for the protocol. */
export default function createMembership(options: MembershipOptions): Membership {
  const { entryHost: name, failureDomain, random, startedAt } = options;
  const holder: OwnRowHolder = { row: createInitialRow(options) };
  let effects: MembershipEffect[] = [];
  let lastHandledAt = startedAt;
  let joined = false;
  let announced = false;
  const emit = (effect: MembershipEffect) => effects.push(effect);
  const context = createMembershipContext({ membership: options, holder, emit });
  const { known, periodic, policy, table } = context;
  const ownRow = createOwnRow({ holder, context, random, isJoined: () => joined });
  const detector = createFailureDetector({ self: name, table, policy });
  const exchange = createTableExchange({ context, detector });
  const lists = createMemberLists(context);
  const changes = createChangeReporter(context);
  const receiver = createPeerReceiver({ context, detector, exchange, lists, changes });
  const parts = [createDomainReporter(context), createDomainRelay(context)];
  table.put(holder.row, startedAt);

  /** Asks absent entry hosts of the domain to join: all at the start, later one at a time. */
  function lookForAbsent(): void {
    const absent = known.entryHosts.filter(
      ({ id, failureDomain: domain }) =>
        domain === failureDomain && id !== name && (table.tryGet(id)?.dead ?? true),
    );
    const first = random.integer(0, Math.max(0, absent.length - 1));
    const chosen = joined ? absent.slice(first, first + 1) : absent;
    chosen.forEach(({ id, peerAddress }) => exchange.requestSync(id, peerAddress));
  }

  function detect(now: Milliseconds): void {
    const rows = detector.step(now);
    if (rows.length > 0) {
      context.broadcast({ kind: 'rowsChanged', from: name, rows });
    }
    if (detector.wantsProbes() && periodic.isDue('probe', policy.accuseAfter / 2, now)) {
      context.broadcast({ kind: 'probe', from: name });
    }
  }

  function passTime(now: Milliseconds): void {
    joined ||= now - startedAt >= policy.joinTimeout;
    if (periodic.isDue('heartbeat', policy.heartbeatInterval, now)) {
      exchange.sendHeartbeats();
      detect(now);
    }
    if (!announced || periodic.isDue('join', policy.joinInterval, now)) {
      announced = true;
      lookForAbsent();
      table.forget(new Set(known.entryHosts.map(({ id }) => id)), now - policy.forgetAfter);
    }
    parts.forEach((part) => part.step(now));
  }

  function receive({ message }: PeerMessageReceived, now: Milliseconds): void {
    receiver.receive(message, now);
    ownRow.review(now);
    joined ||= message.kind === 'synced';
  }

  function dispatch(message: MembershipMessage, now: Milliseconds): void {
    match(message)
      .with({ kind: 'timePassed' }, () => passTime(now))
      .with({ kind: 'peerMessageReceived' }, (received) => receive(received, now))
      .with({ kind: 'configurationChanged' }, ({ generation, entryHosts }) => {
        known.generation = generation;
        known.entryHosts = entryHosts;
      })
      .with({ kind: 'roomsChanged' }, ({ rooms }) => {
        known.rooms = rooms;
      })
      .with({ kind: 'leavingChanged' }, ({ leaving }) => ownRow.change({ leaving }, now))
      .with({ kind: 'departed' }, () => ownRow.change({ dead: true, leaving: true }, now))
      .with({ kind: 'hostsListed' }, ({ entryHosts }) => detector.setListed(new Set(entryHosts)))
      .exhaustive();
  }

  return {
    handle(message, now) {
      effects = [];
      if (now - lastHandledAt >= policy.accuseAfter) {
        // This process was paused: what it did not hear in the meantime proves nothing.
        detector.forgive(now);
      }
      lastHandledAt = now;
      if (!ownRow.isReplaced() && !holder.row.dead) {
        dispatch(message, now);
        changes.report();
      }
      return effects;
    },
    nextWakeUp: (now) => periodic.nextDue('heartbeat', now),
    view: (now) => describeMembership({ context, ownRow, joined, now }),
    tryGetOwner: (key, domain) => context.ownership.tryGetOwner(key, context.membersOf(domain)),
  };
}

function createInitialRow(options: MembershipOptions): MemberRow {
  const { entryHost, incarnation, address } = options;
  return {
    entryHost,
    incarnation,
    version: 0,
    address,
    leaving: false,
    dead: false,
    accusers: [],
  };
}
