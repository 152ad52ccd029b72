import type { CallerMemory, ConnectionLimits } from '@rattanreel/connections';
import type { ErrorRecorder } from '@rattanreel/observability';
import type createRequestHandler from '../createRequestHandler';
import type { LoopDelay } from '../lateness/types';
import type { CallerLimits, HeaderNames, RelayContext } from '../types';
import createCallerEndpoint from './createCallerEndpoint';
import type { CallerEndpoint, RelayMetrics } from './types';

interface HostCallerEndpointOptions {
  readonly context: RelayContext;
  readonly names: HeaderNames;
  readonly loopDelay: Pick<LoopDelay, 'getArrivalTime' | 'recordConnection'>;
  readonly getLimits: () => CallerLimits;
  readonly requestHandler: ReturnType<typeof createRequestHandler>;
  readonly recordError: ErrorRecorder;
  readonly metrics: Pick<RelayMetrics, 'countIntakeEnd'>;
  readonly callerMemory: CallerMemory;
  readonly connectionLimits: ConnectionLimits;
}

/** Creates the endpoint for the callers of a host, whose requests `requestHandler` handles. */
export default function createHostCallerEndpoint(
  options: HostCallerEndpointOptions,
): CallerEndpoint {
  const { context, loopDelay, requestHandler, connectionLimits } = options;
  return createCallerEndpoint({
    clock: context.clock,
    getArrivalTime: loopDelay.getArrivalTime,
    onConnection: loopDelay.recordConnection,
    getLimits: options.getLimits,
    onRequest: requestHandler.handle,
    getTimeLimit: requestHandler.getTimeLimit,
    onTooLarge: requestHandler.rejectTooLarge,
    onLate: requestHandler.rejectLate,
    onNoMemory: requestHandler.refuseForMemory,
    onStopped: requestHandler.refuseForStop,
    onError: (error) => options.recordError('request', error),
    onCut({ headers }, activeFor) {
      const request = headers[options.names.requestId];
      context.logger.warn({ request, activeFor: Math.round(activeFor) }, 'request cut by stop');
    },
    onIntakeEnd: options.metrics.countIntakeEnd,
    memory: options.callerMemory,
    maximumConnections: connectionLimits.callers,
    backlog: connectionLimits.backlog,
  });
}
