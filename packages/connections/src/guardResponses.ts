import { errors } from 'undici';
import type { Dispatcher } from 'undici';
import isDelimitedByClose from './isDelimitedByClose';
import type { TrackedConnector } from './types';

/** Creates a controller that pauses the connection in place of undici's parser. */
function createController(
  inner: Dispatcher.DispatchController,
  connector: Pick<TrackedConnector, 'pause'>,
): Dispatcher.DispatchController {
  let resumeReading: (() => void) | undefined;
  return {
    get aborted() {
      return inner.aborted;
    },
    get paused() {
      return resumeReading !== undefined;
    },
    get reason() {
      return inner.reason;
    },
    get rawHeaders() {
      return inner.rawHeaders;
    },
    get rawTrailers() {
      return inner.rawTrailers;
    },
    abort: (reason) => inner.abort(reason),
    pause() {
      resumeReading ??= connector.pause();
    },
    resume() {
      resumeReading?.();
      resumeReading = undefined;
    },
  };
}

/**
 * Creates an interceptor for clients whose connections `connector` opens. It fails a response whose
 * end was a reset, which undici takes for the end of a response without a length, and lets slow
 * readers pause their connection.
 */
export default function guardResponses(
  connector: TrackedConnector,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    let mayBeTruncated = false;
    let controller: Dispatcher.DispatchController;
    return dispatch(options, {
      onRequestStart(inner, context: unknown) {
        controller = createController(inner, connector);
        handler.onRequestStart?.(controller, context);
      },
      onResponseStart(_, status, headers, message) {
        mayBeTruncated = isDelimitedByClose(status, headers);
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData: (_, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd(_, trailers) {
        // The connection may be used for another request.
        controller.resume();
        if (mayBeTruncated && connector.isReset()) {
          handler.onResponseError?.(controller, new errors.SocketError('reset before the end'));
        } else {
          handler.onResponseEnd?.(controller, trailers);
        }
      },
      onResponseError(inner, error) {
        handler.onResponseError?.(controller ?? inner, error);
      },
    });
  };
}
