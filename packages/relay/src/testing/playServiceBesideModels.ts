import type { Milliseconds } from '@rattanreel/core';
import createTestCallers from './createTestCallers';
import createTestEngines from './createTestEngines';
import createTestFleet from './createTestFleet';

const DOMAINS = 3;
const SERVICE_SERVERS = 4;
const SERVICE_SLOTS = 6;
const SERVICE_WORK: Milliseconds = 57;
const SERVICE_OBJECTIVE: Milliseconds = 306;
const SERVICE_LOAD = 0.9;
const MODEL_SLOTS = 4;
/** Mean time for which a test engine holds a slot. */
const MODEL_WORK: Milliseconds = 190;
const MODEL_LOAD = 1.5;
const DEADLINE: Milliseconds = 3_065;
const NOT_RUN_STATUS = 503;
const START_TIME: Milliseconds = 4_000;
const PLAY_TIME: Milliseconds = 13_700;

interface ServiceBesideModelsOptions {
  readonly hosts: number;
  readonly seed: number;
  readonly modelServers: number;
  /** Requests that a server of the service lets wait beyond its slots. */
  readonly serviceRoom?: number;
  /** Time that such a server asks for when it turns a request away. */
  readonly retryAfter?: Milliseconds;
}

/**
 * Plays callers of a small service before many hosts, at 90 % of its capacity, beside a model pool
 * in overload. Returns how many of the callers' first requests
 * to the service are refused, and the share of responses within the objective.
 */
export default async function playServiceBesideModels(options: ServiceBesideModelsOptions) {
  const { hosts, seed, modelServers } = options;
  const fleet = await createTestFleet({
    hosts,
    domains: DOMAINS,
    serversPerDomain: 0,
    servers: [
      ...Array.from({ length: SERVICE_SERVERS }, () => ({ pool: 'service', slots: SERVICE_SLOTS })),
      ...Array.from({ length: modelServers }, () => ({ pool: 'models', slots: MODEL_SLOTS })),
    ],
    seed,
  });
  const { engines } = createTestEngines(fleet, { serviceWork: { service: SERVICE_WORK } });
  engines.forEach((engine) => engine.speed.set({ slowdown: 1, loadFigures: 3 }));
  engines.slice(0, SERVICE_SERVERS).forEach(({ room }) => {
    if (options.serviceRoom !== undefined) {
      room.setMaximumWaiting(options.serviceRoom);
    }
    if (options.retryAfter !== undefined) {
      room.setRetryAfter(options.retryAfter);
    }
  });
  await fleet.advance(START_TIME, 20);
  const service = {
    targets: [{ pool: 'service', weight: 1 }],
    isResumable: false,
    objective: SERVICE_OBJECTIVE,
    timeout: DEADLINE,
  };
  const callers = createTestCallers({
    fleet,
    deadline: DEADLINE,
    routes: [
      { targets: [{ pool: 'models', weight: 1 }] },
      { ...service, name: 'lookups', pathPrefix: '/lookup/', kind: 'idempotent' },
      { ...service, name: 'orders', pathPrefix: '/order/', kind: 'once' },
    ],
  });
  const modelRate = (MODEL_LOAD * modelServers * MODEL_SLOTS * 1_000) / MODEL_WORK;
  const serviceRate = (SERVICE_LOAD * SERVICE_SERVERS * SERVICE_SLOTS * 1_000) / SERVICE_WORK;
  callers.sendOften(modelRate, () => ({}));
  callers.sendOften(serviceRate / 2, () => ({ target: '/lookup/' }));
  callers.sendOften(serviceRate / 2, () => ({ target: '/order/' }));
  await fleet.advance(PLAY_TIME);
  callers.stop();
  await fleet.advance(DEADLINE);
  const toService = callers.requests.filter(
    ({ isFirst, call }) => isFirst && call.target !== undefined,
  );
  const inTime = toService.filter(
    ({ status, sentAt, answeredAt = Infinity }) =>
      status === 200 && answeredAt - sentAt <= SERVICE_OBJECTIVE,
  );
  return {
    refused: toService.filter(({ status }) => status === NOT_RUN_STATUS).length,
    inTime: inTime.length / toService.length,
  };
}
