import { Hono } from 'hono';
import type { Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { shareScrapes } from '@rattanreel/observability';
import { createAdministrationApplication } from '@rattanreel/administration';
import type { CallerApplicationOptions, CallerEnvironment, CallerServices } from './types';
import authenticateCaller from './authenticateCaller';
import createProblem from './createProblem';
import handleChatCompletion from './handleChatCompletion';
import handleServiceCall from './handleServiceCall';
import problemTypes from './problemTypes';
import sendProblem from './sendProblem';

const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

const ADMINISTRATION_PATH = '/administration/v1';

const OVERLOAD_RETRY_AFTER_MS = 1_000;

type CallerContext = Context<CallerEnvironment>;

type Handler = (services: CallerServices, context: CallerContext) => Promise<Response>;

function issueTicket(services: CallerServices, context: CallerContext): Response {
  if (services.admission.isStopping()) {
    // Only this incarnation could run the order of its ticket.
    const retryAfter = OVERLOAD_RETRY_AFTER_MS;
    return sendProblem(
      context,
      createProblem(problemTypes.shuttingDown, 'not-run', { retryAfter }),
    );
  }
  const settings = services.tryGetSettings();
  if (settings === undefined) {
    return sendProblem(context, createProblem(problemTypes.notReady, 'not-run'));
  }
  const caller = authenticateCaller(settings, context.req.header('authorization'), undefined);
  if (caller.kind === 'error') {
    return sendProblem(context, createProblem(caller.error, 'not-run'));
  }
  return context.json({ ticket: services.orders.issueTicket(caller.value.customer.id) }, 201);
}

/** Creates the HTTP application for callers, the load balancer and the metrics scraper. */
export default function createCallerApplication(
  options: CallerApplicationOptions,
): Hono<CallerEnvironment> {
  const { services, administration, isReady } = options;
  const application = new Hono<CallerEnvironment>();
  const { admission, metrics } = services;
  const scrape = shareScrapes({ clock: services.clock, scrape: metrics.scrape });

  /**
   * Counts the request as in flight until its handler has responded; refuses it when it is not
   * admitted.
   */
  function withAdmission(handler: Handler): (context: CallerContext) => Promise<Response> {
    return async (context) => {
      if (!admission.tryAdmit(context.env.incoming)) {
        const type = admission.isStopping() ? problemTypes.shuttingDown : problemTypes.overloaded;
        const retryAfter = OVERLOAD_RETRY_AFTER_MS;
        return sendProblem(context, createProblem(type, 'not-run', { retryAfter }));
      }
      try {
        return await handler(services, context);
      } finally {
        admission.release();
      }
    };
  }

  const limitBody = bodyLimit({
    maxSize: MAXIMUM_BODY_BYTES,
    onError(context) {
      const response = sendProblem(context, createProblem(problemTypes.bodyTooLarge, 'not-run'));
      // The rest of the body is not read, so the connection cannot carry another request.
      response.headers.set('connection', 'close');
      return response;
    },
  });

  application.post('/v1/chat/completions', limitBody, withAdmission(handleChatCompletion));
  application.all('/services/*', limitBody, withAdmission(handleServiceCall));
  application.post('/v1/tickets', (context) => issueTicket(services, context));
  application.get('/v1/models', (context) => {
    const pools = services.tryGetSettings()?.settings.pools ?? [];
    const models = pools.filter((pool) => pool.kind === 'model');
    const data = models.map(({ model }) => ({
      id: model,
      object: 'model',
      owned_by: 'rattanreel',
    }));
    return context.json({ object: 'list', data });
  });
  application.get('/healthz', (context) => context.text('ok'));
  application.get('/readyz', (context) => {
    const ready = isReady();
    return context.text(ready ? 'ready' : 'not ready', ready ? 200 : 503);
  });
  application.get('/metrics', async (context) => {
    const { contentType, body } = await scrape();
    return context.body(body, 200, { 'content-type': contentType });
  });
  application.route(ADMINISTRATION_PATH, createAdministrationApplication(administration));
  application.notFound((context) =>
    sendProblem(context, createProblem(problemTypes.unknownRoute, 'not-run')),
  );
  application.onError((error, context) => {
    services.logger.error({ error }, 'request handler failed');
    return sendProblem(context, createProblem(problemTypes.executionInDoubt, 'may-have-run'));
  });
  return application;
}
