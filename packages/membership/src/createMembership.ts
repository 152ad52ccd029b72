import type { Milliseconds } from '@rattanreel/core';
import { match } from 'ts-pattern';
import createChangeReporter from './createChangeReporter';
import createDomainRelay from './createDomainRelay';
import createDomainReporter from './createDomainReporter';
import createFailureDetector from './createFailureDetector';
import createMemberListExchange from './createMemberListExchange';
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

/** Creates the membership protocol of one entry host; docs/decisions/membership.md describes it. */
export default function createMembership(options: MembershipOptions): Membership {
  const { entryHost: ownId, failureDomain, random, startedAt } = options;
  const holder: OwnRowHolder = { row: createInitialRow(options) };
  let effects: MembershipEffect[] = [];
  let lastHandledAt = startedAt;
  let joined = false;
  let hasRequestedSync = false;
  const emit = (effect: MembershipEffect) => effects.push(effect);
  const context = createMembershipContext({ membership: options, holder, emit });
  const { localState, schedule, policy, table } = context;
  const ownRow = createOwnRow({ holder, context, random, isJoined: () => joined });
  const detector = createFailureDetector({ self: ownId, table, policy });
  const exchange = createTableExchange({ context, detector });
  const memberLists = createMemberListExchange(context);
  const changeReporter = createChangeReporter(context);
  const receiver = createPeerReceiver({ context, detector, exchange, memberLists, changeReporter });
  const periodicTasks = [createDomainReporter(context), createDomainRelay(context)];
  table.merge(holder.row, startedAt);

  /**
   * Asks the absent entry hosts of this domain for their table: all of them until this host has
   * joined, then one at a time.
   */
  function requestSyncFromAbsentHosts(): void {
    const absent = localState.entryHosts.filter(
      ({ id, failureDomain: domain }) =>
        domain === failureDomain && id !== ownId && (table.tryGet(id)?.dead ?? true),
    );
    const first = random.integer(0, Math.max(0, absent.length - 1));
    const chosen = joined ? absent.slice(first, first + 1) : absent;
    chosen.forEach(({ id, peerAddress }) => exchange.requestSync(id, peerAddress));
  }

  function detectFailures(now: Milliseconds): void {
    const rows = detector.detectFailures(now);
    if (rows.length > 0) {
      context.broadcast({ kind: 'rowsChanged', from: ownId, rows });
    }
    if (detector.shouldProbe() && schedule.isDue('probe', policy.accuseAfter / 2, now)) {
      context.broadcast({ kind: 'probe', from: ownId });
    }
  }

  function handleTimePassed(now: Milliseconds): void {
    joined ||= now - startedAt >= policy.joinTimeout;
    if (schedule.isDue('heartbeat', policy.heartbeatInterval, now)) {
      exchange.sendHeartbeats();
      detectFailures(now);
    }
    if (!hasRequestedSync || schedule.isDue('join', policy.joinInterval, now)) {
      hasRequestedSync = true;
      requestSyncFromAbsentHosts();
      table.removeExpired(
        new Set(localState.entryHosts.map(({ id }) => id)),
        now - policy.forgetAfter,
      );
    }
    periodicTasks.forEach((task) => task.run(now));
  }

  function receive({ message }: PeerMessageReceived, now: Milliseconds): void {
    receiver.receive(message, now);
    ownRow.reconcile(now);
    joined ||= message.kind === 'synced';
  }

  function dispatch(message: MembershipMessage, now: Milliseconds): void {
    match(message)
      .with({ kind: 'timePassed' }, () => handleTimePassed(now))
      .with({ kind: 'peerMessageReceived' }, (received) => receive(received, now))
      .with({ kind: 'configurationChanged' }, ({ generation, entryHosts }) => {
        localState.generation = generation;
        localState.entryHosts = entryHosts;
      })
      .with({ kind: 'roomsChanged' }, ({ rooms }) => {
        localState.capacities = rooms;
      })
      .with({ kind: 'leavingChanged' }, ({ leaving }) => ownRow.update({ leaving }, now))
      .with({ kind: 'departed' }, () => ownRow.update({ dead: true, leaving: true }, now))
      .with({ kind: 'hostsListed' }, ({ entryHosts }) =>
        detector.setListedHosts(new Set(entryHosts)),
      )
      .exhaustive();
  }

  return {
    handle(message, now) {
      effects = [];
      if (now - lastHandledAt >= policy.accuseAfter) {
        // This process was paused: messages missing from that time are no sign of a failure.
        detector.restartTimeouts(now);
      }
      lastHandledAt = now;
      if (!ownRow.isReplaced() && !holder.row.dead) {
        dispatch(message, now);
        changeReporter.report();
      }
      return effects;
    },
    getNextWakeUp: (now) => schedule.getNextDueTime('heartbeat', now),
    view: (now) => describeMembership({ context, ownRow, joined, now }),
    tryGetOwner: (key, domain) => context.ownerSelector.tryGetOwner(key, context.membersOf(domain)),
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
