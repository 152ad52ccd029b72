import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { Socket } from 'node:net';
import type { Milliseconds } from '@rattanreel/core';
import type { ServiceFault } from './types';

interface ServiceApplicationOptions {
  readonly stalledSockets: ReadonlySet<Socket>;
  getLoad(): object;
  getAudit(): object;
  /** Executes a call; returns the body of the response. */
  execute(call: ServiceCall): object;
  /** Waits for a slot and for the service time, then runs `work`. */
  runInSlot<Result>(work: () => Result): Promise<Result>;
  takeNextFault(): ServiceFault | undefined;
  sleep(delay: Milliseconds): Promise<void>;
}

/** A call as received. */
interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly request: string | undefined;
  readonly body: unknown;
}

interface Environment {
  Bindings: HttpBindings;
}

const NEVER_SETTLED: Promise<never> = new Promise(() => {});

/** Creates the HTTP interface of the plain service. */
export default function createServiceApplication(
  options: ServiceApplicationOptions,
): Hono<Environment> {
  const application = new Hono<Environment>();

  function resetConnection(context: Context<Environment>): Promise<never> {
    context.env.incoming.socket.destroy();
    return NEVER_SETTLED;
  }

  async function respond(
    context: Context<Environment>,
    fault: ServiceFault | undefined,
    body: object,
  ): Promise<Response> {
    switch (fault?.kind) {
      case 'answerLost':
        return NEVER_SETTLED;
      case 'resetAfter':
        return resetConnection(context);
      case 'answerLate':
        await options.sleep(fault.delay);
        return context.json(body, 200);
      case 'failure':
      case 'resetBefore':
      case undefined:
      default:
        return context.json(body, 200);
    }
  }

  application.use(async (context, next) => {
    if (options.stalledSockets.has(context.env.incoming.socket)) {
      await NEVER_SETTLED;
    }
    await next();
  });
  application.get('/load', (context) => context.json(options.getLoad()));
  application.get('/audit', (context) => context.json(options.getAudit()));
  application.all('*', async (context) => {
    const fault = options.takeNextFault();
    if (fault?.kind === 'resetBefore') {
      return resetConnection(context);
    }
    if (fault?.kind === 'failure') {
      return context.json({ kind: 'injectedFailure' }, fault.status);
    }
    const call: ServiceCall = {
      method: context.req.method,
      path: context.req.path,
      request: context.req.header('x-request-id'),
      body: await context.req.json().catch(() => undefined),
    };
    const body = await options.runInSlot(() => options.execute(call));
    return respond(context, fault, body);
  });
  return application;
}
