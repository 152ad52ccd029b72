import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Context } from 'hono';
import { streamSSE } from 'hono/streaming';
import type { Socket } from 'node:net';
import type { EngineModel } from '@rattanreel/stand-in-engine-model';
import parseChatCompletion from './parseChatCompletion';
import parseEngineOrder from './parseEngineOrder';
import type { EngineService, TokenStream } from './types';
import writeTokenStream from './writeTokenStream';

interface EngineApplicationOptions {
  readonly model: EngineModel;
  readonly service: EngineService;
  readonly stalledSockets: ReadonlySet<Socket>;
}

interface Environment {
  Bindings: HttpBindings;
}

const HTTP_BAD_REQUEST = 400;

function getSocket(context: Context<Environment>): Socket {
  return context.env.incoming.socket;
}

/** Creates the engine's HTTP interface. */
export default function createEngineApplication(
  options: EngineApplicationOptions,
): Hono<Environment> {
  const { model, service, stalledSockets } = options;
  const application = new Hono<Environment>();

  function respondWithStream(context: Context<Environment>, stream: TokenStream, after: number) {
    const socket = getSocket(context);
    return streamSSE(context, (sse) =>
      writeTokenStream(sse, stream, {
        after,
        isStalled: () => stalledSockets.has(socket),
        closeConnection: () => socket.destroy(),
      }),
    );
  }

  application.use(async (context, next) => {
    if (stalledSockets.has(getSocket(context))) {
      await new Promise(() => {});
    }
    await next();
  });

  application.post('/v1/chat/completions', async (context) => {
    const request = context.req.header('x-request-id');
    const body = parseChatCompletion(await context.req.json().catch(() => undefined));
    if (request === undefined || body === undefined || !body.stream) {
      return context.json({ kind: 'malformedRequest' }, HTTP_BAD_REQUEST);
    }
    const outcome = service.startStream(request, body);
    if (outcome.kind === 'ok') {
      return respondWithStream(context, outcome.value, 0);
    }
    switch (outcome.error.kind) {
      case 'requestSeenBefore':
        return context.json(outcome.error, 409);
      case 'injectedFailure':
        return context.json(outcome.error, 500);
      case 'noModelLoaded':
      case 'memoryTooSmall':
      default:
        return context.json(outcome.error, 503);
    }
  });

  application.get('/v1/streams/:request', (context) => {
    const stream = service.tryGetStream(context.req.param('request'));
    if (stream === undefined || (stream.end !== undefined && stream.end !== 'completed')) {
      return context.json({ kind: 'unknownStream' }, 404);
    }
    return respondWithStream(context, stream, Number(context.req.query('after') ?? 0));
  });

  application.delete('/v1/streams/:request', (context) => {
    model.cancel(context.req.param('request'));
    return context.body(null, 204);
  });

  application.get('/load', (context) => context.json(service.getLoad()));

  application.get('/cache-events', (context) =>
    context.json({ events: model.getCacheEventsAfter(Number(context.req.query('after') ?? 0)) }),
  );

  application.post('/orders', async (context) => {
    const order = parseEngineOrder(await context.req.json().catch(() => undefined));
    if (order === undefined) {
      return context.json({ kind: 'malformedOrder' }, HTTP_BAD_REQUEST);
    }
    const outcome = service.acceptOrder(order);
    return outcome.kind === 'ok'
      ? context.json({ kind: 'orderTaken' }, 202)
      : context.json(outcome.error, 409);
  });

  application.get('/kv/:request', (context) => {
    const cache = service.tryExportCache(context.req.param('request'));
    return cache === undefined ? context.json({ kind: 'unknownStream' }, 404) : context.json(cache);
  });

  application.put('/kv/:request', async (context) => {
    const imported = await context.req.json<{ prefixHashes?: readonly string[] }>();
    model.importPrefixes(imported.prefixHashes ?? []);
    return context.body(null, 204);
  });

  return application;
}
