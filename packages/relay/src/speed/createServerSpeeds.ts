import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import getExpectedSlowdown from './getExpectedSlowdown';
import type { ServerSpeeds, SpeedObservation } from './types';

/** From this slowdown on a server counts as slow: its times say nothing of its usual ones. */
const SLOW_FROM = 1.2;
/** Change of a server's speed, as a ratio, that other hosts should know at once. */
const NOTABLE_CHANGE = 1.3;
/** After four half-lives a report no longer matters. */
const REPORT_TTL: Milliseconds = 8_000;

interface KnownSpeed {
  readonly latest: SpeedObservation;
  /** The latest observation that did not come from another granting host. */
  readonly own: SpeedObservation | undefined;
  /** When the server was last known to be slow, and since when it was without a break. */
  readonly slowAt: Milliseconds;
  readonly slowFrom: Milliseconds;
}

/**
 * Holds the last slowdown that each server reported, with the time of the report. Reports of all
 * hosts merge by their time, in any order.
 */
export default function createServerSpeeds(): ServerSpeeds {
  const known = new Map<BackendServerId, KnownSpeed>();

  /** Keeps an observation unless a later one is known. */
  function update(server: BackendServerId, next: SpeedObservation, isOwn: boolean): void {
    const previous = known.get(server);
    const isLater = previous === undefined || next.observedAt >= previous.latest.observedAt;
    const own = previous?.own;
    const isOwnLater = isOwn && (own === undefined || next.observedAt >= own.observedAt);
    known.set(server, {
      latest: isLater ? next : previous.latest,
      own: isOwnLater ? next : own,
      slowFrom:
        previous !== undefined && previous.latest.slowdown >= SLOW_FROM
          ? previous.slowFrom
          : next.observedAt,
      slowAt: Math.max(
        previous?.slowAt ?? -Infinity,
        next.slowdown >= SLOW_FROM ? next.observedAt : -Infinity,
      ),
    });
  }

  return {
    record(server, observation) {
      const before = known.get(server)?.latest;
      const expected =
        before === undefined ? 1 : getExpectedSlowdown(before, observation.observedAt);
      update(server, observation, true);
      const change = observation.slowdown / expected;
      return change >= NOTABLE_CHANGE || change <= 1 / NOTABLE_CHANGE;
    },
    merge(reports, now) {
      Object.entries(reports).forEach(([server, [slowdown, age]]) =>
        update(server, { slowdown, observedAt: now - age }, false),
      );
    },
    getSlowdown(server, now) {
      const latest = known.get(server)?.latest;
      return latest === undefined ? 1 : getExpectedSlowdown(latest, now);
    },
    countSlow: (now) =>
      [...known.values()].filter(({ latest }) => getExpectedSlowdown(latest, now) >= SLOW_FROM)
        .length,
    tryGetLatest: (server) => known.get(server)?.latest,
    wasSlowSince(server, since) {
      const { slowAt, slowFrom } = known.get(server) ?? { slowAt: -Infinity, slowFrom: 0 };
      // What lasts longer than any slowdown is the server's usual speed, and must be learnt.
      return slowAt >= since && slowAt - slowFrom < REPORT_TTL;
    },
    tryGetReports(now) {
      const oldest = now - REPORT_TTL;
      const reports = [...known].flatMap(([server, { own, slowAt }]) =>
        own !== undefined && slowAt > oldest && own.observedAt > oldest
          ? [[server, [own.slowdown, Math.round(now - own.observedAt)]] as const]
          : [],
      );
      return reports.length === 0 ? undefined : Object.fromEntries(reports);
    },
    retainServers(servers) {
      [...known.keys()].filter((id) => !servers.has(id)).forEach((id) => known.delete(id));
    },
  };
}
