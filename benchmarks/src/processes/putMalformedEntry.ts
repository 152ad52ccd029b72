import type createStoreStandIn from '@rattanreel/platform-adapter/testing';
import type { Fault } from './types';

const ADDRESSES = ['127.0.0.\ufffd:7702', '127.0.0.1:99999', '?:80', '', '[::1'];
const SERVICES = ['orders', 'drafts'];
const FAILURE_DOMAINS = ['a', 'b'];

/** Puts an entry of another writer, which names no server, beside those of the servers for a while. */
export default function putMalformedEntry(
  store: Pick<Awaited<ReturnType<typeof createStoreStandIn>>, 'put' | 'remove'>,
  { target, duration }: Fault,
): void {
  const id = `malformed-${target}`;
  store.put('servers', id, {
    service: SERVICES[target % SERVICES.length],
    addr: ADDRESSES[target % ADDRESSES.length],
    zone: FAILURE_DOMAINS[target % FAILURE_DOMAINS.length],
    version: 'v1',
    slots: 4,
    state: 'ready',
  });
  setTimeout(() => store.remove('servers', id), duration);
}
