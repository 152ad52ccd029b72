import type { Context } from 'hono';
import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { RecordedAnswer } from '@rattanreel/orders';
import type {
  CallerEnvironment,
  CallerServices,
  ProblemDocument,
  ProblemType,
  ServiceJob,
} from './types';
import type { SettingsView } from '../types';
import authenticateCaller from './authenticateCaller';
import createAddressLookup from './createAddressLookup';
import createCallerConnection from './createCallerConnection';
import createProblem from './createProblem';
import createOrderProblem from './createOrderProblem';
import problemTypes from './problemTypes';
import readDeadline from './readDeadline';
import readOrderKey from './readOrderKey';
import recordServiceEnd from './recordServiceEnd';
import runServiceCall from './runServiceCall';
import sendProblem from './sendProblem';
import createServiceProblem from './createServiceProblem';

const SERVICE_PATH_PATTERN = /^\/services\/([^/]+)(\/.*)?$/;

function failNotRun(type: ProblemType, detail?: string): Outcome<never, ProblemDocument> {
  return fail(createProblem(type, 'not-run', { detail }));
}

async function readServiceJob(
  services: CallerServices,
  settings: SettingsView,
  context: Context<CallerEnvironment>,
): Promise<Outcome<ServiceJob, ProblemDocument>> {
  const { method, path: fullPath } = context.req;
  const [, service = '', path = '/'] = SERVICE_PATH_PATTERN.exec(fullPath) ?? [];
  const pool = settings.tryFindService(service);
  const route = pool === undefined ? undefined : settings.tryFindRoute(pool, method, path);
  const authorization = context.req.header('authorization');
  const caller = authenticateCaller(
    settings,
    authorization,
    context.req.header('x-tier'),
    route?.tier,
  );
  if (caller.kind === 'error') {
    return failNotRun(caller.error);
  }
  if (pool === undefined || route === undefined) {
    return failNotRun(problemTypes.unknownRoute);
  }
  const { tier } = caller.value;
  const deadline = readDeadline(
    context.req.header('x-deadline-ms'),
    tier.defaultDeadlineMilliseconds,
  );
  if (deadline === undefined) {
    return failNotRun(problemTypes.invalidHeader, 'x-deadline-ms');
  }
  const request = services.random.identifier();
  const { search } = new URL(context.req.url);
  const key = context.req.header('idempotency-key');
  return ok({
    request,
    caller: caller.value,
    pool,
    route,
    method,
    path: `${path}${search}`,
    headers: {
      'content-type': context.req.header('content-type') ?? 'application/json',
      'x-request-id': request,
      ...(key === undefined ? {} : { 'x-rattanreel-key': key }),
    },
    body: await context.req.text(),
    dueAt: services.clock.now() + deadline,
    signal: createCallerConnection(context.env.outgoing, services.admission).signal,
    getAddress: createAddressLookup(services, settings),
  });
}

async function submitOrder(
  services: CallerServices,
  job: ServiceJob,
  context: Context<CallerEnvironment>,
): Promise<Outcome<RecordedAnswer, ProblemDocument>> {
  const key = readOrderKey(context.req.header('x-ticket'), context.req.header('idempotency-key'));
  if (key === undefined) {
    return failNotRun(problemTypes.invalidHeader, 'idempotency-key or x-ticket');
  }
  const order = {
    customer: job.caller.customer.id,
    method: job.method,
    path: context.req.path,
    body: job.body,
    key,
  };
  // An order that has begun is completed and recorded even if its caller disconnects.
  const uncancellableJob = { ...job, signal: new AbortController().signal };
  const result = await services.orderDispatcher.withJob(order, uncancellableJob, () =>
    services.orders.submit(order),
  );
  return result.kind === 'ok' ? result : fail(createOrderProblem(job.request, result.error));
}

async function runRepeatable(
  services: CallerServices,
  job: ServiceJob,
): Promise<Outcome<RecordedAnswer, ProblemDocument>> {
  const outcome = await runServiceCall(services, job);
  return outcome.kind === 'answered'
    ? ok(outcome.answer)
    : fail(createServiceProblem(job.request, outcome));
}

/** Forwards a call to a plain service; a call that is not repeatable runs at most once. */
export default async function handleServiceCall(
  services: CallerServices,
  context: Context<CallerEnvironment>,
): Promise<Response> {
  const settings = services.tryGetSettings();
  if (settings === undefined) {
    return sendProblem(context, createProblem(problemTypes.notReady, 'not-run'));
  }
  const job = await readServiceJob(services, settings, context);
  if (job.kind === 'error') {
    return sendProblem(context, job.error);
  }
  const startedAt = services.clock.now();
  const result = job.value.route.repeatable
    ? await runRepeatable(services, job.value)
    : await submitOrder(services, job.value, context);
  recordServiceEnd(services, job.value, result, startedAt);
  if (result.kind === 'error') {
    return sendProblem(context, result.error);
  }
  const { status, contentType, body } = result.value;
  return new Response(body, {
    status,
    headers: { 'content-type': contentType, 'x-request-id': job.value.request },
  });
}
