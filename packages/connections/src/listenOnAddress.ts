import type { AddressInfo } from 'node:net';
import { createSystemClock, createSystemRandom, fail, ok } from '@rattanreel/core';
import type { Milliseconds, Outcome } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import classifyListenError from './classifyListenError';
import createSparseLog from './createSparseLog';
import getListenDelay from './getListenDelay';
import splitListenAddress from './splitListenAddress';
import tryListen from './tryListen';
import waitUnlessStopped from './waitUnlessStopped';
import type { ListenError, ListeningAddress, ListenOptions } from './types';

/** Shortest time between two log lines about one endpoint. */
const LOG_INTERVAL: Milliseconds = 5_000;

/**
 * Lets a server listen. An address that is taken, or not available for another reason that can pass,
 * is tried again until it is free or the signal stops it: a restarted process often starts while the
 * one before it still drains. Logs and counts errors of the server from then on, which would end the
 * process otherwise.
 */
export default async function listenOnAddress(
  options: ListenOptions,
): Promise<Outcome<ListeningAddress, ListenError>> {
  const { server, endpoint, address, backlog, signal, countFailure } = options;
  const {
    clock = createSystemClock(),
    random = createSystemRandom(),
    logger = silentLogger,
  } = options;
  const startedAt = clock.now();
  const target = splitListenAddress(address);
  const log = createSparseLog({ clock, interval: LOG_INTERVAL });

  for (let attempt = 1; !signal?.aborted; attempt += 1) {
    const result = await tryListen({ server, target: { ...target, backlog }, signal });
    switch (result.kind) {
      case 'listening': {
        server.on('error', (error: NodeJS.ErrnoException) => {
          const { code = error.message } = error;
          countFailure?.(endpoint, 'accept');
          log((left) => logger.error({ endpoint, address, code, left }, 'connection not accepted'));
        });
        const { port } = server.address() as AddressInfo;
        const waited = clock.now() - startedAt;
        logger.info({ endpoint, address, attempts: attempt, waited }, 'listening');
        return ok({ address: `${address.slice(0, address.lastIndexOf(':'))}:${port}` });
      }
      case 'stopped':
        return fail({ kind: 'stopped', endpoint, address });
      case 'failed': {
        const { code } = result;
        const kind = classifyListenError(code);
        countFailure?.(endpoint, 'listen');
        if (kind !== 'temporary') {
          logger.error({ endpoint, address, code, attempt }, 'address cannot be used');
          return fail({ kind, endpoint, address, code });
        }
        log(() =>
          logger.warn({ endpoint, address, code, attempt }, 'address not available, retrying'),
        );
        await waitUnlessStopped({ clock, delay: getListenDelay(attempt, random), signal });
        break;
      }
      default:
        result satisfies never;
    }
  }
  return fail({ kind: 'stopped', endpoint, address });
}
