import { Debug } from '@rattanreel/core';
import type { Generation, Milliseconds, Random, Timer } from '@rattanreel/core';
import createEraTracker from './createEraTracker';
import createSleeper from './createSleeper';
import decideLeaseStep from './decideLeaseStep';
import writeLease from './writeLease';
import type {
  LeaseHolding,
  LeaseObservation,
  LeaseOptions,
  LeaseRecord,
  LeaseState,
  TimedLease,
  ConditionalWriteResult,
  StoredObject,
} from './types';

/** Object kind of leases in the store. */
const LEASE_KIND = 'lease';
const DEFAULT_DURATION: Milliseconds = 6_000;
/** Number of renewals in each lease duration. */
const RENEWALS_PER_DURATION = 3;
const POLLS_PER_DURATION = 2;
const MINIMUM_POLL_INTERVAL: Milliseconds = 20;

interface HeldLease extends LeaseHolding {
  readonly object: StoredObject<LeaseRecord>;
}

interface SentAt {
  readonly time: Milliseconds;
  readonly wallTime: Date;
  readonly era: number | undefined;
}

const NOT_HELD: LeaseState = { kind: 'notHeld' };

function isSameState(left: LeaseState, right: LeaseState): boolean {
  return left.kind === 'held' && right.kind === 'held'
    ? left.generation === right.generation
    : left.kind === right.kind;
}

/** Returns a random time between three quarters of `span` and `span`. */
function jitter(random: Random, span: Milliseconds): Milliseconds {
  return span * (0.75 + random.next() / 4);
}

/** Tries to acquire a lease until stopped, and renews it while it is held. */
export default function createLease(options: LeaseOptions): TimedLease {
  const { store, name, holder, clock, random } = options;
  const duration = options.duration ?? DEFAULT_DURATION;
  const sleeper = createSleeper(clock);
  const eras = createEraTracker(options);
  let heldLease: HeldLease | undefined;
  let observation: LeaseObservation | undefined;
  let highestGeneration: Generation = 0;
  let isStopped = false;
  let reported: LeaseState = NOT_HELD;
  let expiryTimer: Timer | undefined;

  function isValid(held: HeldLease): boolean {
    return (
      clock.now() < held.expiresAt &&
      (!eras.isTracking || clock.wallTime().getTime() < held.wallExpiresAt) &&
      !eras.isOutdated(held.era)
    );
  }

  function tryGetHolding(): HeldLease | undefined {
    return heldLease !== undefined && !isStopped && isValid(heldLease) ? heldLease : undefined;
  }

  function state(): LeaseState {
    const held = tryGetHolding();
    return held === undefined ? NOT_HELD : { kind: 'held', generation: held.generation };
  }

  function report(): void {
    const current = state();
    if (!isSameState(current, reported)) {
      reported = current;
      options.onChange?.(current);
    }
  }

  function recordHeldLease(object: StoredObject<LeaseRecord>, sentAt: SentAt): void {
    const { generation } = object.value;
    if (!eras.tryRecordWrite(object.version, sentAt.era)) {
      // The store returned from an older copy, which may lack the lease of another holder.
      heldLease = undefined;
      highestGeneration = generation;
      report();
      return;
    }
    Debug.invariant(
      generation >= highestGeneration,
      'lease-generation-fell',
      () => `${name}: ${generation} after ${highestGeneration}`,
    );
    highestGeneration = Math.max(highestGeneration, generation);
    heldLease = {
      object,
      generation,
      era: eras.getEra(object.version),
      acquiredAt: heldLease?.generation === generation ? heldLease.acquiredAt : clock.now(),
      renewedAt: sentAt.time,
      expiresAt: sentAt.time + duration,
      wallExpiresAt: sentAt.wallTime.getTime() + duration,
    };
    expiryTimer?.cancel();
    expiryTimer = clock.after(Math.max(0, heldLease.expiresAt - clock.now()), report);
    report();
  }

  function observe(object: StoredObject | undefined): void {
    eras.observe(object);
    if (object === undefined) {
      observation = undefined;
    } else if (object.version !== observation?.object.version) {
      observation = { object: object as StoredObject<LeaseRecord>, since: clock.now() };
    }
  }

  function write(
    generation: Generation,
    version: number | undefined,
    isReleased = false,
  ): Promise<ConditionalWriteResult<LeaseRecord>> {
    const shouldContinue = () => !isStopped || isReleased;
    return writeLease({ ...options, duration, generation, version, isReleased, shouldContinue });
  }

  /**
   * Writes the lease with this process as its holder. Its validity counts from before the first
   * attempt.
   */
  async function acquireOrRenew(
    generation: Generation,
    version: number | undefined,
  ): Promise<void> {
    const sentAt = { time: clock.now(), wallTime: clock.wallTime(), era: eras.getKnown() };
    const result = await write(generation, version);
    switch (result.kind) {
      case 'written':
        recordHeldLease(result.object, sentAt);
        observe(result.object);
        return;
      case 'superseded':
        heldLease = undefined;
        observe(result.current);
        report();
        return;
      case 'notWritten':
      case 'inDoubt':
        return;
      default:
        Debug.assertNever(result);
    }
  }

  /** Reads the lease and acquires it when it is free. */
  async function tryAcquire(): Promise<void> {
    const found = await store.get<LeaseRecord>(LEASE_KIND, name);
    if (found.kind === 'error' && found.error.kind !== 'notFound') {
      await sleeper.sleep(jitter(random, duration / POLLS_PER_DURATION));
      return;
    }
    observe(found.kind === 'ok' ? found.value : undefined);
    const settledSince = eras.getSettledSince();
    const known = { holder, duration, observation, settledSince };
    const step = decideLeaseStep({ ...known, now: clock.now() });
    if (step.kind === 'wait') {
      const longest = jitter(random, duration / POLLS_PER_DURATION);
      await sleeper.sleep(Math.max(MINIMUM_POLL_INTERVAL, Math.min(step.delay, longest)));
    } else if (!isStopped) {
      await acquireOrRenew(step.generation, step.kind === 'take' ? step.version : undefined);
    }
  }

  async function renew(held: HeldLease): Promise<void> {
    await sleeper.sleep(jitter(random, duration / RENEWALS_PER_DURATION));
    if (!isStopped && state().kind === 'held') {
      await acquireOrRenew(held.generation, held.object.version);
    }
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      const held = tryGetHolding();
      if (held !== undefined) {
        await renew(held);
      } else {
        report();
        await tryAcquire();
      }
    }
  }

  const running = run();
  return {
    state,
    tryGetHolding,
    async stop() {
      const last = options.isReleasedOnStop === false ? undefined : tryGetHolding();
      isStopped = true;
      expiryTimer?.cancel();
      sleeper.stop();
      report();
      await running;
      if (last !== undefined && heldLease !== undefined) {
        const { generation, object } = heldLease;
        await write(generation, object.version, true);
      }
    },
  };
}
