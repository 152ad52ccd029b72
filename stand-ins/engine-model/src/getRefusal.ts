import type {
  EngineHardware,
  EngineRefusal,
  EngineRequest,
  EngineStatus,
  RequestAudit,
} from './types';

/** Why the engine does not take the request in; undefined when it does. */
export default function getRefusal(
  status: EngineStatus,
  hardware: EngineHardware,
  request: EngineRequest,
  seen: RequestAudit | undefined,
): EngineRefusal | undefined {
  if (seen !== undefined) {
    return { kind: 'requestSeenBefore' };
  }
  if (status.failuresLeft > 0) {
    status.failuresLeft -= 1;
    return { kind: 'injectedFailure' };
  }
  if (!status.ready) {
    return { kind: 'noModelLoaded' };
  }
  const needed = request.promptTokens + request.outputTokens;
  return needed > hardware.memoryTokens ? { kind: 'memoryTooSmall' } : undefined;
}
