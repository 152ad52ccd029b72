import { Agent, request as openRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { CallerResult, Scene } from './types';

const PAUSE_WITHOUT_CONNECTION_MS = 20;

interface CallerOptions {
  readonly scene: Scene;
  readonly name: string;
  readonly kind: 'order' | 'read';
}

/**
 * Starts a caller that sends one request after the other on one kept connection, and goes on until it
 * is stopped, also after the program has begun to stop.
 */
export default function startCaller({ scene, name, kind }: CallerOptions) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const results: CallerResult[] = [];
  let isSending = true;

  function send(request: string): Promise<CallerResult> {
    const { method, path, headers, body } = scene.createRequest(request, kind);
    const sentAt = performance.now();
    let isConnected = false;
    return new Promise((resolve) => {
      const end = (how: CallerResult['kind'], status?: number): void =>
        resolve({ request, kind: how, status, sentAt, endedAt: performance.now() });
      const fail = (): void => end(isConnected ? 'closed' : 'refused');
      const outgoing = openRequest(
        { agent, host: '127.0.0.1', port: scene.ports.callers, method, path, headers },
        (incoming) => {
          incoming.resume();
          incoming.once('end', () => end('responded', incoming.statusCode));
          incoming.once('error', fail);
        },
      );
      outgoing.on('socket', (socket) => {
        isConnected = !socket.connecting;
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      outgoing.once('error', fail);
      outgoing.end(body);
    });
  }

  async function run(): Promise<void> {
    for (let number = 0; isSending; number += 1) {
      const result = await send(`${name}-${number}`);
      results.push(result);
      if (result.kind !== 'responded') {
        await sleep(PAUSE_WITHOUT_CONNECTION_MS);
      }
    }
  }

  const finished = run();
  return {
    /** Stops after the current request, and returns what was observed. */
    async stop(): Promise<readonly CallerResult[]> {
      isSending = false;
      await finished;
      agent.destroy();
      return results;
    },
  };
}
