import type { Incarnation, Milliseconds, Timer } from '@rattanreel/core';
import type { FleetRole, PeerAddress, RelayContext } from '../types';
import createDutyLease from './createDutyLease';
import createFencedCaller from './createFencedCaller';
import createPauseDetector from './createPauseDetector';
import createScaleOrders from './createScaleOrders';
import createUsageRecords from './createUsageRecords';
import createUsageReporter from './createUsageReporter';
import createUsageSharing from './createUsageSharing';
import createUsageTable from './createUsageTable';
import createWindowClock from './createWindowClock';
import isDutyCandidate from './isDutyCandidate';
import type { Duties, DutyHolding, DutyOptions, DutyReply, ScaleDemand } from './types';

const TICK_INTERVAL: Milliseconds = 100;
/** Longest time of a call: a third of the lease, so that it fits between two renewals. */
const CALLS_PER_LEASE = 3;
/** Time after which a host that is no candidate any more gives up the lease. */
const CANDIDACY_TTL: Milliseconds = 3_000;

interface DutiesOptions extends DutyOptions {
  readonly context: RelayContext;
  readonly self: PeerAddress;
  readonly incarnation: Incarnation;
  readonly getRole: () => FleetRole;
  /** Returns the host that schedules this one; undefined if this host does. */
  readonly tryGetScheduler: () => PeerAddress | undefined;
  /** Returns the registered hosts other than this one; undefined unless this one is registered. */
  readonly tryGetPeers: () => readonly PeerAddress[] | undefined;
  /** Measures the demand for servers as this host knows it. */
  readonly measure: () => readonly ScaleDemand[];
  /** Returns the era of the store as this host knows it from its cluster state. */
  readonly getStoreEra: () => number | undefined;
}

/** Connects the lease, the counts and the calls of the duties at one host. */
export default function createDuties(options: DutiesOptions): Duties {
  const { context, self, incarnation, settings, store, getEra, getRole } = options;
  const { clock, logger } = context;
  const timeout = settings.leaseDuration / CALLS_PER_LEASE;
  const pauseDetector = createPauseDetector({ clock, interval: TICK_INTERVAL });
  const windowClock = createWindowClock(clock, (isStepped) =>
    logger.warn({ isStepped }, 'wall clock step'),
  );
  const calls: Record<DutyReply['kind'], number> = { accepted: 0, refused: 0, lost: 0, notSent: 0 };
  const isReporting = settings.duties.includes('usage');
  let era: number | undefined;
  let scheduler = options.tryGetScheduler()?.entryHost;
  let lastHolding: DutyHolding | undefined;
  let lastCandidateAt = -Infinity;
  let isStepping = false;
  let isStopped = false;
  let timer: Timer | undefined;

  function learnEra(next: number | undefined): void {
    if (next === undefined || (era !== undefined && next <= era)) {
      return;
    }
    const wasHolder = lastHolding !== undefined;
    logger.info({ era: next, before: era, wasHolder }, 'store era');
    era = next;
    reporter.recordLostRecords(wasHolder);
  }

  const lease = createDutyLease({
    context,
    store,
    duration: settings.leaseDuration,
    entryHost: self.entryHost,
    incarnation,
    callTimeout: timeout,
    getEra(version) {
      const read = getEra(version);
      learnEra(read);
      return read;
    },
    getKnownEra: () => era,
  });

  const table = createUsageTable({
    clock,
    windowClock,
    windowLength: settings.reportWindow,
    host: self.entryHost,
    incarnation,
    onUnknownSender: () => table.touch(),
  });

  const sharing = createUsageSharing({ clock, table, getRole });

  const caller = createFencedCaller({
    clock,
    calls: options.calls,
    entryHost: self.entryHost,
    callsPerSecond: settings.callsPerSecond,
    timeout,
    pauseDetector,
    tryGetHolding: lease.tryGetHolding,
    onReply(reply) {
      calls[reply.kind] += 1;
    },
  });

  const reporter = createUsageReporter({
    now: clock.now,
    logger,
    table,
    records: createUsageRecords({ context, store, getEra }),
    windowLength: settings.reportWindow,
    reportDelay: settings.reportDelay,
    getWindowTime: windowClock.now,
    tryCall: (call) => caller.tryCall('usage', call),
    onEra: learnEra,
  });

  const scaleOrders = createScaleOrders({
    ...options,
    now: clock.now,
    logger,
    tryCall: caller.tryCall,
  });

  function startStep(holding: DutyHolding): void {
    if (isStepping) {
      return;
    }
    isStepping = true;
    if (settings.duties.includes('scale')) {
      scaleOrders.step(holding.token);
    }
    (isReporting ? reporter.step(holding) : Promise.resolve())
      .catch((error: unknown) => logger.error({ error: String(error) }, 'duty failed'))
      .finally(() => {
        isStepping = false;
      });
  }

  /** Lets a new scheduler, or the other schedulers, have all counts. */
  function checkScheduler(): void {
    const next = options.tryGetScheduler()?.entryHost;
    if (next !== scheduler) {
      scheduler = next;
      table.touch();
    }
  }

  function tick(): void {
    if (isStopped) {
      return;
    }
    timer = clock.after(TICK_INTERVAL, tick);
    pauseDetector.tick();
    // Samples the wall clock, so that a step of it is found although nothing is counted.
    windowClock.now();
    checkScheduler();
    learnEra(options.getStoreEra());
    const peers = options.tryGetPeers();
    if (peers !== undefined && isDutyCandidate({ self, peers, role: getRole() })) {
      lastCandidateAt = clock.now();
    }
    lease.setCandidate(clock.now() - lastCandidateAt < CANDIDACY_TTL);
    const holding = lease.tryGetHolding();
    learnEra(holding?.era);
    lastHolding = holding;
    if (holding !== undefined) {
      startStep(holding);
    }
  }

  tick();
  return {
    recordBegun(customer) {
      if (isReporting && customer !== undefined) {
        table.recordBegun(customer);
      }
    },
    tryGetReport: (recipient) => (isReporting ? sharing.tryGetReport(recipient) : undefined),
    tryGetWindowTime: () => (isReporting ? windowClock.now() : undefined),
    merge(sender, report, origin) {
      windowClock.recordPeerTime(sender, report.time);
      table.merge(sender, report, origin);
    },
    recordPeerTime: windowClock.recordPeerTime,
    getFigures: () => ({
      ...reporter.getFigures(),
      isHolder: lease.tryGetHolding() !== undefined,
      token: lease.tryGetHolding()?.token ?? 0,
      rows: table.countRows(),
      isClockStepped: windowClock.isStepped(),
      calls,
    }),
    async stop() {
      isStopped = true;
      timer?.cancel();
      await lease.stop();
      options.calls.close();
    },
  };
}
