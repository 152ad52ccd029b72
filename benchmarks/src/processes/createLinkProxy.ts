import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { LinkProxy } from './types';

/** Delay of each chunk on a slow link. */
const SLOW_LINK_DELAY_MILLISECONDS = 120;

/** Opens a loopback proxy in front of `target` (HOST:PORT). */
export default async function createLinkProxy(target: string): Promise<LinkProxy> {
  const [host, port] = target.split(':') as [string, string];
  const sockets = new Set<Socket>();
  let state: Parameters<LinkProxy['setState']>[0] = 'open';

  function forward(from: Socket, to: Socket): void {
    let pendingActions: Promise<void> = Promise.resolve();

    /** Runs `action` after the link's delay, and after all actions scheduled before it. */
    function scheduleInOrder(action: () => void): void {
      const precedingActions = pendingActions;
      const delay = state === 'slow' ? SLOW_LINK_DELAY_MILLISECONDS : 0;
      pendingActions = new Promise((resolve) => {
        setTimeout(() => {
          void precedingActions.then(() => {
            action();
            resolve();
          });
        }, delay);
      });
    }

    sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      if (state !== 'silent') {
        scheduleInOrder(() => to.write(chunk));
      }
    });
    from.on('end', () => {
      // A reset that arrives with the last bytes is reported as an end; getpeername fails then.
      const isReset = from.remoteAddress === undefined;
      scheduleInOrder(() => (isReset ? to.resetAndDestroy() : to.end()));
    });
    from.on('close', (hadError) => {
      sockets.delete(from);
      scheduleInOrder(() => (hadError ? to.resetAndDestroy() : to.destroy()));
    });
    // Errors are expected on a faulty link; both peers detect them themselves.
    from.on('error', () => undefined);
  }

  const server = createServer({ allowHalfOpen: true }, (downstream) => {
    const upstream = connect({ host, port: Number(port), allowHalfOpen: true });
    forward(downstream, upstream);
    forward(upstream, downstream);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setState(next) {
      state = next;
    },
    resetAll() {
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
