import { Debug } from '@rattanreel/core';
import type { Generation, Milliseconds, Random, Timer } from '@rattanreel/core';
import createSleeper from './createSleeper';
import decideLeaseStep from './decideLeaseStep';
import writeLease from './writeLease';
import type {
  Lease,
  LeaseObservation,
  LeaseOptions,
  LeaseRecord,
  LeaseState,
  SettledWrite,
  StoredObject,
} from './types';

/** Kind of the objects that hold leases. */
const LEASE_KIND = 'lease';
const DEFAULT_DURATION: Milliseconds = 6_000;
/** Renewals are due this many times in each duration. */
const RENEWALS_PER_DURATION = 3;
const LOOKS_PER_DURATION = 2;
const SHORTEST_LOOK: Milliseconds = 20;

interface Holding {
  readonly object: StoredObject<LeaseRecord>;
  readonly generation: Generation;
  /** Instant after which this holder must not act any more. */
  readonly expiresAt: Milliseconds;
}

const NOT_HELD: LeaseState = { kind: 'notHeld' };

function isSameState(left: LeaseState, right: LeaseState): boolean {
  return left.kind === 'held' && right.kind === 'held'
    ? left.generation === right.generation
    : left.kind === right.kind;
}

/** A span from three quarters of `span` up to it. */
function jitter(random: Random, span: Milliseconds): Milliseconds {
  return span * (0.75 + random.next() / 4);
}

/** Asks for a lease until stopped, and renews it while it is held. */
export default function createLease(options: LeaseOptions): Lease {
  const { store, name, holder, clock, random } = options;
  const duration = options.duration ?? DEFAULT_DURATION;
  const sleeper = createSleeper(clock);
  let holding: Holding | undefined;
  let observation: LeaseObservation | undefined;
  let highestGeneration: Generation = 0;
  let isStopped = false;
  let reported: LeaseState = NOT_HELD;
  let lapseTimer: Timer | undefined;

  function state(): LeaseState {
    return holding !== undefined && !isStopped && clock.now() < holding.expiresAt
      ? { kind: 'held', generation: holding.generation }
      : NOT_HELD;
  }

  function report(): void {
    const current = state();
    if (!isSameState(current, reported)) {
      reported = current;
      options.onChange?.(current);
    }
  }

  function hold(object: StoredObject<LeaseRecord>, sentAt: Milliseconds): void {
    const { generation } = object.value;
    Debug.invariant(
      generation >= highestGeneration,
      'lease-generation-fell',
      () => `${name}: ${generation} after ${highestGeneration}`,
    );
    highestGeneration = Math.max(highestGeneration, generation);
    holding = { object, generation, expiresAt: sentAt + duration };
    lapseTimer?.cancel();
    lapseTimer = clock.after(Math.max(0, holding.expiresAt - clock.now()), report);
    report();
  }

  function observe(object: StoredObject | undefined): void {
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
  ): Promise<SettledWrite<LeaseRecord>> {
    const shouldGoOn = () => !isStopped || isReleased;
    const fixed = { store, name, holder, clock, random, duration };
    return writeLease({ ...fixed, generation, version, isReleased, shouldGoOn });
  }

  /** Writes the lease in this holder's name; validity counts from before the first attempt. */
  async function claim(generation: Generation, version: number | undefined): Promise<void> {
    const sentAt = clock.now();
    const settled = await write(generation, version);
    switch (settled.kind) {
      case 'written':
        observe(settled.object);
        hold(settled.object, sentAt);
        return;
      case 'superseded':
        holding = undefined;
        observe(settled.current);
        report();
        return;
      case 'notWritten':
      case 'inDoubt':
        return;
      default:
        Debug.assertNever(settled);
    }
  }

  /** Looks at the lease, and takes it when it is free. */
  async function seek(): Promise<void> {
    const got = await store.get<LeaseRecord>(LEASE_KIND, name);
    if (got.kind === 'error' && got.error.kind !== 'notFound') {
      await sleeper.sleep(jitter(random, duration / LOOKS_PER_DURATION));
      return;
    }
    observe(got.kind === 'ok' ? got.value : undefined);
    const step = decideLeaseStep({ now: clock.now(), holder, observation });
    if (step.kind === 'wait') {
      const longest = jitter(random, duration / LOOKS_PER_DURATION);
      await sleeper.sleep(Math.max(SHORTEST_LOOK, Math.min(step.delay, longest)));
    } else if (!isStopped) {
      await claim(step.generation, step.kind === 'take' ? step.version : undefined);
    }
  }

  async function renew(held: Holding): Promise<void> {
    await sleeper.sleep(jitter(random, duration / RENEWALS_PER_DURATION));
    if (!isStopped && state().kind === 'held') {
      await claim(held.generation, held.object.version);
    }
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      if (holding !== undefined && state().kind === 'held') {
        await renew(holding);
      } else {
        report();
        await seek();
      }
    }
  }

  const running = run();
  return {
    state,
    async stop() {
      const last = state().kind === 'held' ? holding : undefined;
      isStopped = true;
      lapseTimer?.cancel();
      sleeper.wakeForGood();
      report();
      await running;
      if (last !== undefined && holding !== undefined) {
        const { generation, object } = holding;
        await write(generation, object.version, true);
      }
    },
  };
}
