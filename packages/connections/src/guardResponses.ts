import { errors } from 'undici';
import type { Dispatcher } from 'undici';
import isDelimitedByClose from './isDelimitedByClose';
import type { TrackedConnector } from './types';

/**
 * Creates an interceptor for clients whose connections `connector` opens. It fails a response whose
 * end was a reset, which undici takes for the end of a response without a length.
 */
export default function guardResponses(
  connector: TrackedConnector,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    let mayBeTruncated = false;
    return dispatch(options, {
      onRequestStart: (controller, context: unknown) =>
        handler.onRequestStart?.(controller, context),
      onResponseStart(controller, status, headers, message) {
        mayBeTruncated = isDelimitedByClose(status, headers);
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd(controller, trailers) {
        if (mayBeTruncated && connector.isReset()) {
          handler.onResponseError?.(controller, new errors.SocketError('reset before the end'));
        } else {
          handler.onResponseEnd?.(controller, trailers);
        }
      },
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    });
  };
}
