import { decode, encode } from '@msgpack/msgpack';
import type { MethodDefinition } from '@grpc/grpc-js';
import type { Envelope, PeerService, TrafficCounter } from './types';

/**
 * Creates the gRPC service between entry hosts. Its messages are MessagePack, so no code generator
 * is needed. `counter` records the encoded size of each message.
 */
export default function createPeerService(counter: TrafficCounter): PeerService {
  function serialize(value: Envelope<unknown>): Buffer {
    const bytes = encode(value, { ignoreUndefined: true });
    counter.recordSent(bytes.byteLength);
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  }

  function deserialize(bytes: Buffer): Envelope<unknown> {
    const envelope = decode(bytes) as Envelope<unknown>;
    counter.recordReceived(bytes.byteLength, envelope);
    return envelope;
  }

  const exchange: MethodDefinition<Envelope<unknown>, Envelope<unknown>> = {
    path: '/rattanreel.Peer/Exchange',
    requestStream: true,
    responseStream: true,
    requestSerialize: serialize,
    requestDeserialize: deserialize,
    responseSerialize: serialize,
    responseDeserialize: deserialize,
  };
  return {
    exchange,
    ask: { ...exchange, path: '/rattanreel.Peer/Ask', requestStream: false, responseStream: false },
    perform: { ...exchange, path: '/rattanreel.Peer/Perform', requestStream: false },
  };
}
