import { ServerInterceptingCall, ServerListenerBuilder } from '@grpc/grpc-js';
import type { ServerInterceptor } from '@grpc/grpc-js';
import type { PeerIntake } from './types';

/** Creates the interceptor that tells the intake when a call begins and ends. */
export default function createCallInterceptor(
  intake: Pick<PeerIntake, 'beginCall'>,
): ServerInterceptor {
  return (_definition, call) => {
    const endCall = intake.beginCall(call.getPeer());
    return new ServerInterceptingCall(call, {
      // Called at each end of a call, not only when it is cancelled.
      start: (next) => next(new ServerListenerBuilder().withOnCancel(endCall).build()),
    });
  };
}
