import { Hono } from 'hono';
import type { Context } from 'hono';
import { stream } from 'hono/streaming';
import type { HttpBindings } from '@hono/node-server';
import { Debug } from '@rattanreel/core';
import type { StoreCall, StoreReply, WatchLine } from '@rattanreel/platform';
import openWatchLines from './openWatchLines';
import type { ObjectStoreModel } from './types';

const MILLISECONDS_PER_SECOND = 1_000;

type PlatformContext = Context<{ Bindings: HttpBindings }>;

function formatWatchLine(line: Exclude<WatchLine, { kind: 'ended' }>): string {
  const { kind, ...rest } = line;
  return `${JSON.stringify({ type: kind, ...rest })}\n`;
}

/** Converts a reply to an HTTP response; a lost reply closes the connection. */
function respond(context: PlatformContext, reply: StoreReply): Response {
  switch (reply.kind) {
    case 'object':
      return context.json(reply.object);
    case 'list':
      return context.json(reply.list);
    case 'removed':
      return context.body(null, 204);
    case 'hosts':
      return context.json({ hosts: reply.hosts });
    case 'notFound':
      return context.json({ kind: 'notFound' }, 404);
    case 'conflict':
      return context.json({ current: reply.current ?? null }, 412);
    case 'refused':
      context.header('retry-after', String(reply.retryAfter / MILLISECONDS_PER_SECOND));
      return context.json({ kind: reply.reason }, reply.reason === 'rateLimited' ? 429 : 503);
    case 'invalid':
      return context.json({ kind: 'invalid', detail: reply.detail }, 400);
    case 'lost':
      context.env.outgoing.destroy();
      return context.body(null, 500);
    default:
      return Debug.assertNever(reply);
  }
}

function getObjectKey(context: PlatformContext): {
  readonly objectKind: string;
  readonly name: string;
} {
  return {
    objectKind: Debug.checkDefined(context.req.param('kind'), 'kind'),
    name: Debug.checkDefined(context.req.param('name'), 'name'),
  };
}

function tryGetIfMatchVersion(context: PlatformContext): number | undefined {
  const version = Number(context.req.header('if-match')?.replaceAll('"', ''));
  return Number.isInteger(version) ? version : undefined;
}

async function tryParsePut(context: PlatformContext): Promise<StoreCall | undefined> {
  const objectKey = getObjectKey(context);
  const value: unknown = await context.req.json();
  if (context.req.header('if-none-match') === '*') {
    return { kind: 'create', ...objectKey, value };
  }
  const version = tryGetIfMatchVersion(context);
  return version === undefined ? undefined : { kind: 'update', ...objectKey, value, version };
}

/** Responds to a watch with a stream of lines, or with the reason for its refusal. */
async function respondWithWatch(
  context: PlatformContext,
  model: ObjectStoreModel,
): Promise<Response> {
  const lines = openWatchLines(model, {
    objectKind: Debug.checkDefined(context.req.param('kind'), 'kind'),
    prefix: context.req.query('prefix') ?? '',
    after: Number(context.req.query('after') ?? 0),
  });
  const first = await lines.next();
  if (first.kind === 'ended') {
    return context.json({ kind: first.reason }, first.reason === 'tooOld' ? 410 : 503);
  }
  return stream(context, async (output) => {
    output.onAbort(lines.close);
    for (let line: WatchLine = first; line.kind !== 'ended'; line = await lines.next()) {
      await output.write(formatWatchLine(line));
    }
  });
}

/** Creates the HTTP routes of the object API over an in-memory store. */
export default function createPlatformRoutes(
  model: ObjectStoreModel,
): Hono<{ Bindings: HttpBindings }> {
  const routes = new Hono<{ Bindings: HttpBindings }>();
  routes.get('/objects/:kind/:name', async (context) =>
    respond(context, await model.call({ kind: 'get', ...getObjectKey(context) })),
  );
  routes.get('/objects/:kind', async (context) => {
    const objectKind = context.req.param('kind');
    const prefix = context.req.query('prefix') ?? '';
    return respond(context, await model.call({ kind: 'list', objectKind, prefix }));
  });
  routes.put('/objects/:kind/:name', async (context) => {
    const call = await tryParsePut(context);
    return call === undefined
      ? context.json({ kind: 'conditionMissing' }, 400)
      : respond(context, await model.call(call));
  });
  routes.delete('/objects/:kind/:name', async (context) => {
    const version = tryGetIfMatchVersion(context);
    return version === undefined
      ? context.json({ kind: 'conditionMissing' }, 400)
      : respond(context, await model.call({ kind: 'remove', ...getObjectKey(context), version }));
  });
  routes.get('/watch/:kind', (context) => respondWithWatch(context, model));
  routes.get('/hosts', async (context) =>
    respond(context, await model.call({ kind: 'listHosts' })),
  );
  return routes;
}
