import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { Socket } from 'node:net';
import type { Milliseconds } from '@rattanreel/core';
import type { ServiceFault } from './types';

interface ServiceApplicationOptions {
  readonly silentSockets: ReadonlySet<Socket>;
  load(): object;
  audit(): object;
  /** Executes a call; the result is the answer's body. */
  execute(call: ServiceCall): object;
  /** Waits for the call's turn and for the time that it takes. */
  serve<Result>(work: () => Result): Promise<Result>;
  nextFault(): ServiceFault | undefined;
  wait(delay: Milliseconds): Promise<void>;
}

/** A call as it came in. */
interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly request: string | undefined;
  readonly body: unknown;
}

interface Environment {
  Bindings: HttpBindings;
}

const FOREVER: Promise<never> = new Promise(() => {});

/** The plain service's HTTP interface. */
export default function createServiceApplication(
  options: ServiceApplicationOptions,
): Hono<Environment> {
  const application = new Hono<Environment>();

  function reset(context: Context<Environment>): Promise<never> {
    context.env.incoming.socket.destroy();
    return FOREVER;
  }

  async function answer(
    context: Context<Environment>,
    fault: ServiceFault | undefined,
    body: object,
  ): Promise<Response> {
    switch (fault?.kind) {
      case 'answerLost':
        return FOREVER;
      case 'resetAfter':
        return reset(context);
      case 'answerLate':
        await options.wait(fault.delay);
        return context.json(body, 200);
      case 'failure':
      case 'resetBefore':
      case undefined:
      default:
        return context.json(body, 200);
    }
  }

  application.use(async (context, next) => {
    if (options.silentSockets.has(context.env.incoming.socket)) {
      await FOREVER;
    }
    await next();
  });
  application.get('/load', (context) => context.json(options.load()));
  application.get('/audit', (context) => context.json(options.audit()));
  application.all('*', async (context) => {
    const fault = options.nextFault();
    if (fault?.kind === 'resetBefore') {
      return reset(context);
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
    const body = await options.serve(() => options.execute(call));
    return answer(context, fault, body);
  });
  return application;
}
