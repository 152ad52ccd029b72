import type { Milliseconds } from '@rattanreel/core';
import type { TestCall } from './types';
import createTestCallers from './createTestCallers';
import createTestEngines from './createTestEngines';
import createTestFleet from './createTestFleet';

const SERVERS = 4;
const SLOTS = 6;
const SERVICE_WORK: Milliseconds = 60;
const CALLERS_PER_HOST = 8;
const THINK_TIME: Milliseconds = 20;
const DEADLINE: Milliseconds = 3_000;
const OBJECTIVE: Milliseconds = 400;
const START_TIME: Milliseconds = 4_000;
/** Time after the end of a disturbance within which service must be steady again. */
const RECOVERY_TIME: Milliseconds = 5_000;
const WATCH_TIME: Milliseconds = 5_000;

type Disturbance =
  | { readonly kind: 'none' }
  | { readonly kind: 'slowEngines'; readonly slowdown: number; readonly lasting: Milliseconds }
  | { readonly kind: 'pausedHosts'; readonly lasting: Milliseconds };

interface RecoveryOptions {
  readonly hosts: number;
  readonly seed: number;
  readonly disturbance: Disturbance;
  /** What the callers of a host send, in turn. */
  readonly calls: readonly TestCall[];
  readonly deadline?: Milliseconds;
}

/**
 * Plays callers of a service that send again when they are answered, before hosts and engines that
 * are disturbed for a time. Returns the share of attempts served at each host afterwards.
 */
export default async function playRecovery(options: RecoveryOptions) {
  const { hosts, seed, disturbance, calls, deadline = DEADLINE } = options;
  const fleet = await createTestFleet({
    hosts,
    domains: 1,
    serversPerDomain: 0,
    servers: Array.from({ length: SERVERS }, () => ({ pool: 'pool', slots: SLOTS })),
    seed,
  });
  const { engines } = createTestEngines(fleet, { serviceWork: { pool: SERVICE_WORK } });
  await fleet.advance(START_TIME, 20);
  let isPlaying = true;
  const terms = { isResumable: false, objective: OBJECTIVE, timeout: deadline };
  const callers = createTestCallers({
    fleet,
    deadline,
    routes: [
      { ...terms, name: 'lookups', pathPrefix: '/lookup/', kind: 'idempotent' },
      { ...terms, name: 'orders', pathPrefix: '/order/', kind: 'once' },
    ],
    onEnded({ call }) {
      fleet.clock.after(THINK_TIME + (call.bodyTime ?? 0), () => {
        if (isPlaying) {
          callers.send(call);
        }
      });
    },
  });
  fleet.hosts.forEach(({ name }) =>
    Array.from({ length: CALLERS_PER_HOST }, (_, index) =>
      callers.send({ ...calls[index % calls.length], hostName: name }),
    ),
  );
  await fleet.advance(START_TIME);
  switch (disturbance.kind) {
    case 'none':
      break;
    case 'slowEngines':
      engines.forEach(({ speed }) => speed.set({ slowdown: disturbance.slowdown, loadFigures: 0 }));
      await fleet.advance(disturbance.lasting);
      engines.forEach(({ speed }) => speed.set({ slowdown: 1, loadFigures: 0 }));
      break;
    case 'pausedHosts':
      fleet.hosts.forEach(({ loop }) => loop.block(disturbance.lasting));
      await fleet.advance(disturbance.lasting);
      break;
    default:
      disturbance satisfies never;
  }
  await fleet.advance(RECOVERY_TIME);
  const since = fleet.clock.now();
  await fleet.advance(WATCH_TIME);
  isPlaying = false;
  return fleet.hosts.map((host) => {
    const watched = callers.requests.filter(
      ({ host: called, sentAt, answeredAt }) =>
        called === host && sentAt >= since && answeredAt !== undefined,
    );
    const served = watched.filter(({ status }) => status === 200);
    return watched.length === 0 ? 0 : served.length / watched.length;
  });
}
