import type { ListenTarget, ListenOptions } from './types';

interface ListenAttemptOptions extends Pick<ListenOptions, 'server' | 'signal'> {
  readonly target: ListenTarget;
}

type ListenResult =
  | { readonly kind: 'listening' }
  | { readonly kind: 'stopped' }
  | { readonly kind: 'failed'; readonly code: string };

function getCode(error: unknown): string {
  return (error as NodeJS.ErrnoException).code ?? String(error);
}

/** Lets a server listen, once. The server may be used again after a failure. */
export default function tryListen(options: ListenAttemptOptions): Promise<ListenResult> {
  const { server, target, signal } = options;
  return new Promise((resolve) => {
    function end(result: ListenResult): void {
      server.off('listening', onListening);
      server.off('error', onError);
      signal?.removeEventListener('abort', onAbort);
      resolve(result);
    }
    function onListening(): void {
      end({ kind: 'listening' });
    }
    function onError(error: Error): void {
      end({ kind: 'failed', code: getCode(error) });
    }
    function onAbort(): void {
      // A name may still be looked up.
      server.once('listening', () => server.close());
      server.once('error', () => undefined);
      end({ kind: 'stopped' });
    }
    server.once('listening', onListening);
    server.once('error', onError);
    signal?.addEventListener('abort', onAbort, { once: true });
    try {
      server.listen(target);
    } catch (error) {
      end({ kind: 'failed', code: getCode(error) });
    }
  });
}
