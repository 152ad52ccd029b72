import type { PeerTransportError } from '@rattanreel/transport';
import exitCodes from './exitCodes';
import type { ExitCode } from './types';

/** Returns the exit code of a host that does not listen; a stop during the start is a success. */
export default function getStartExitCode({ kind }: PeerTransportError): ExitCode {
  switch (kind) {
    case 'stopped':
      return exitCodes.success;
    case 'invalidAddress':
    case 'plainTextOffLoopback':
      return exitCodes.invalidInput;
    case 'addressRefused':
      return exitCodes.unavailable;
    default:
      return kind satisfies never;
  }
}
