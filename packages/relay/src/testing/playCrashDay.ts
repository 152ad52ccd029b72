import type { Milliseconds } from '@rattanreel/core';
import getContentId from '../front/getContentId';
import createTestCallers from './createTestCallers';
import createTestEngines from './createTestEngines';
import createTestFleet from './createTestFleet';
import type { SeenCall, TestCall, TestHost, Trouble } from './types';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;

/** The platform's `stable-window-ms`. */
const STABLE_WINDOW: Milliseconds = 3_000;
/** Time after which a fleet that starts together is settled. */
const START_TIME: Milliseconds = 12_000;
const CALM_TIME: Milliseconds = 4_000;
const CRASHING_TIME: Milliseconds = 14_000;
const SESSIONS = 40;

/** Calls that end each engine which begins to answer them. */
interface CrashingCalls {
  readonly createCall: (session: string) => TestCall;
  readonly isCrashing: (call: SeenCall) => boolean;
}

interface CrashDayOptions {
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  /** Sound calls a second, and those of each kind of crashing calls. */
  readonly soundRate: number;
  readonly crashingRate: number;
  readonly crashing: Readonly<Record<string, CrashingCalls>>;
  readonly createSoundCall?: (session: string) => TestCall;
  /** Begins a disruption of some hosts; returns them, with the time at which it ended. */
  readonly disturb?: (fleet: TestFleet) => Promise<readonly Trouble[]>;
  readonly seed?: number;
}

function toSeenCall(call: TestCall): SeenCall {
  return { promptParts: [], target: '/', body: '', customer: '', ...call };
}

function toContentId({ target, body, customer }: SeenCall): string {
  const quota = undefined;
  return getContentId(
    { method: 'POST', target, body: Buffer.from(body) },
    customer === '' ? undefined : { name: customer, keys: [], tier: undefined, quota },
  );
}

/** Plays calm time, then crashing calls beside the sound ones to the end. */
export default async function playCrashDay(options: CrashDayOptions) {
  const { soundRate, crashingRate, crashing, disturb } = options;
  const { createSoundCall = (session: string) => ({ promptParts: ['first', session] }) } = options;
  const fleet = await createTestFleet(options);
  const { clock, random } = fleet;
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({ fleet });
  await fleet.advance(START_TIME, 20);
  const getSession = (): string => `session${random.integer(0, SESSIONS - 1)}`;
  callers.sendOften(soundRate, () => createSoundCall(getSession()));
  await fleet.advance(CALM_TIME);
  const begunAt = clock.now();
  Object.entries(crashing).forEach(([name, { createCall, isCrashing }]) => {
    engines.crashing.set(name, isCrashing);
    callers.sendOften(crashingRate, () => createCall(getSession()));
  });
  const troubles = (await disturb?.(fleet)) ?? [];
  await fleet.advance(Math.max(begunAt + CRASHING_TIME - clock.now(), 10_000));
  callers.stop();

  /** Returns when calls have ended so many engines, or their last one. */
  function getCrashTime(name: string, crashes: number): Milliseconds {
    const own = engines.crashes.filter(({ cause }) => cause === name);
    return own[Math.min(own.length, crashes) - 1]?.at ?? Infinity;
  }

  function isInTouch(host: TestHost, at: Milliseconds): boolean {
    return troubles.every((trouble) => trouble.host !== host || at > trouble.until + STABLE_WINDOW);
  }

  function isCrashingCall(call: SeenCall): boolean {
    return Object.values(crashing).some(({ isCrashing }) => isCrashing(call));
  }

  /** Returns the share of sound first calls that are served in a time, at hosts in touch. */
  function getSoundShare(from: Milliseconds, until: Milliseconds): number {
    const sound = callers.requests.filter(
      ({ host, sentAt, call, isFirst }) =>
        isFirst &&
        sentAt >= from &&
        sentAt < until &&
        isInTouch(host, sentAt) &&
        !isCrashingCall(toSeenCall(call)),
    );
    return sound.filter(({ status }) => status === 200).length / Math.max(sound.length, 1);
  }

  return {
    engines,
    /** Counts crashing calls that reached engines after all hosts in touch had to know of them. */
    countLateArrivals(name: string, crashes: number): number {
      const bindsFrom = getCrashTime(name, crashes) + STABLE_WINDOW;
      return engines.arrivals.filter(
        ({ at, host, call }) =>
          at > bindsFrom && crashing[name]!.isCrashing(call) && isInTouch(host, at),
      ).length;
    },
    /** Returns the shares of sound calls served before the crashes, and once all hosts know of them. */
    getSoundShares(crashes: number): { readonly before: number; readonly after: number } {
      const lastMeasuredAt = clock.now() - 500;
      const bindsFrom = Math.max(
        ...Object.keys(crashing).map((name) => getCrashTime(name, crashes)),
      );
      return {
        before: getSoundShare(begunAt - CALM_TIME, begunAt),
        after: getSoundShare(
          Math.min(bindsFrom + 2 * STABLE_WINDOW, lastMeasuredAt - STABLE_WINDOW),
          lastMeasuredAt,
        ),
      };
    },
    /** Lists what is quarantined at any host, but for the contents of calls that crash engines. */
    listQuarantined(): readonly string[] {
      const quarantined = fleet.hosts.flatMap(({ core }) =>
        Object.keys(core.crashGuard.tryGetReport()?.quarantined ?? {}),
      );
      const crashingContents = new Set<string>(
        callers.requests
          .map(({ call }) => toSeenCall(call))
          .filter(isCrashingCall)
          .map(toContentId),
      );
      return quarantined.filter((trait) => !crashingContents.has(trait));
    },
  };
}
