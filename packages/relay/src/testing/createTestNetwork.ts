import { fail, ok } from '@rattanreel/core';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { OpenTransport, RelayTransportOptions, HostMessage } from '../peers/types';
import type { TestHost } from './types';

const IN_DOMAIN_DELAY: Milliseconds = 0.2;
const CROSS_DOMAIN_DELAY: Milliseconds = 0.6;
const QUERY_TIMEOUT: Milliseconds = 700;
const PEER_CHECK_INTERVAL: Milliseconds = 50;
/** Interval at which a message for a frozen host is tried again. */
const FROZEN_RETRY_INTERVAL: Milliseconds = 10;

type GetHost = () => TestHost | undefined;

interface Endpoint {
  readonly options: RelayTransportOptions;
  readonly getHost: GetHost;
}

/** Creates a network between the hosts of a test, in virtual time; counts messages and bytes. */
export default function createTestNetwork(clock: Clock) {
  const endpoints = new Map<string, Endpoint>();
  let isReachable: (from: TestHost, to: TestHost) => boolean = () => true;

  function count(host: TestHost, bytes: number): void {
    host.traffic.messages += 1;
    host.traffic.bytes += bytes;
  }

  function deliver(from: GetHost, to: GetHost, body: unknown, receive: () => void): void {
    const source = from();
    const target = to();
    if (source === undefined || target === undefined) {
      return;
    }
    if (source.isDown || !isReachable(source, target)) {
      return;
    }
    const bytes = JSON.stringify(body).length;
    count(source, bytes);
    count(target, bytes);
    const arrive = (): void => {
      if (target.isFrozen) {
        clock.after(FROZEN_RETRY_INTERVAL, arrive);
      } else {
        target.loop.run('arrival', () => {
          if (!target.isDown) {
            receive();
          }
        });
      }
    };
    clock.after(source.domain === target.domain ? IN_DOMAIN_DELAY : CROSS_DOMAIN_DELAY, arrive);
  }

  function createOpenTransport(getHost: GetHost): OpenTransport {
    return async (options) => {
      const { listenAddress, identity, onMessage } = options;
      endpoints.set(listenAddress, { options, getHost });

      function send(address: string, message: HostMessage): void {
        const target = endpoints.get(address);
        if (target === undefined) {
          return;
        }
        const respond = (response: HostMessage): void =>
          deliver(target.getHost, getHost, response, () =>
            onMessage(target.options.identity, structuredClone(response), (next) =>
              send(address, next),
            ),
          );
        deliver(getHost, target.getHost, message, () =>
          target.options.onMessage(identity, structuredClone(message), respond),
        );
      }

      return {
        address: listenAddress,
        send,
        ask: (address, question) =>
          new Promise((resolve) => {
            clock.after(QUERY_TIMEOUT, () =>
              resolve(fail({ kind: 'unreachable', detail: 'timeout' })),
            );
            const target = endpoints.get(address);
            if (target !== undefined) {
              deliver(getHost, target.getHost, question, () => {
                const answer = target.options.getClusterState(question);
                deliver(target.getHost, getHost, answer, () => resolve(ok(answer)));
              });
            }
          }),
        perform(address, task, listener, connectTimeout) {
          const target = endpoints.get(address);
          let cancel: (() => void) | undefined;
          let isOpen = true;
          const end = (how: 'unreachable' | 'ended'): void => {
            if (isOpen) {
              isOpen = false;
              listener.onEnd(how);
            }
          };
          const isConnected = (): boolean => {
            const source = getHost();
            const peer = target?.getHost();
            return (
              source !== undefined &&
              peer !== undefined &&
              !peer.isDown &&
              !peer.isFrozen &&
              isReachable(source, peer)
            );
          };
          /** Ends the task once its peer is down, as the connection does. */
          const watchPeer = (): void => {
            if (target?.getHost()?.isDown === true) {
              end('ended');
            } else if (isOpen) {
              clock.after(PEER_CHECK_INTERVAL, watchPeer);
            }
          };
          if (target === undefined || !isConnected()) {
            clock.after(connectTimeout, () => end('unreachable'));
          } else {
            watchPeer();
            deliver(getHost, target.getHost, task, () => {
              if (!isOpen) {
                return;
              }
              cancel = target.options.onTask(task, {
                report(progress) {
                  deliver(target.getHost, getHost, progress, () => {
                    if (isOpen) {
                      listener.onProgress(progress);
                    }
                  });
                  return true;
                },
                onDrain: () => undefined,
                end: () => deliver(target.getHost, getHost, {}, () => end('ended')),
              });
            });
          }
          const ignore = (): void => undefined;
          return {
            cancel() {
              isOpen = false;
              if (target !== undefined) {
                deliver(getHost, target.getHost, {}, () => cancel?.());
              }
            },
            pause: ignore,
            resume: ignore,
          };
        },
        traffic: () => ({ messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 }),
        close: async () => undefined,
      };
    };
  }

  return {
    createOpenTransport,
    /** Sets which hosts can send to each other. */
    setReachable(next: (from: TestHost, to: TestHost) => boolean): void {
      isReachable = next;
    },
  };
}
