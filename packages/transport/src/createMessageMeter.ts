import type { Envelope, MessageMeter, PeerIntake } from './types';

/** Counts the messages of a transport, and tells the intake which of them have arrived completely. */
export default function createMessageMeter(
  intake: Pick<PeerIntake, 'recordMessage'>,
): MessageMeter {
  const traffic = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 };
  const sizes = new WeakMap<Envelope<unknown>, number>();

  return {
    recordSent(bytes) {
      traffic.messagesSent += 1;
      traffic.bytesSent += bytes;
    },
    recordReceived(bytes, envelope) {
      traffic.messagesReceived += 1;
      traffic.bytesReceived += bytes;
      if (typeof envelope === 'object') {
        sizes.set(envelope, bytes);
      }
    },
    recordHandled: (call, envelope) =>
      intake.recordMessage(call.getPeer(), sizes.get(envelope) ?? 0),
    getTraffic: () => ({ ...traffic }),
  };
}
