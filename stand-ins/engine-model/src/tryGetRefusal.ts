import type {
  EngineHardware,
  EngineRefusal,
  EngineRequest,
  EngineStatus,
  RequestAudit,
} from './types';

/**
 * Returns why the engine refuses the request; `undefined` if it accepts it. Consumes one injected
 * failure if any are left.
 */
export default function tryGetRefusal(
  status: EngineStatus,
  hardware: EngineHardware,
  request: EngineRequest,
  previousAudit: RequestAudit | undefined,
): EngineRefusal | undefined {
  if (previousAudit !== undefined) {
    return { kind: 'requestSeenBefore' };
  }
  if (status.remainingInjectedFailures > 0) {
    status.remainingInjectedFailures -= 1;
    return { kind: 'injectedFailure' };
  }
  if (!status.ready) {
    return { kind: 'noModelLoaded' };
  }
  const needed = request.promptTokens + request.outputTokens;
  return needed > hardware.memoryTokens ? { kind: 'memoryTooSmall' } : undefined;
}
