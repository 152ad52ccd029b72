import exitCodes from '../exitCodes';
import type { ExitCode } from '../types';

/** Maps the HTTP status of an administration call to an exit code. */
export default function getExitCode(status: number): ExitCode {
  switch (status) {
    case 200:
      return exitCodes.success;
    case 401:
    case 403:
      return exitCodes.notAllowed;
    case 409:
    case 412:
      return exitCodes.conflict;
    case 503:
    case 504:
      return exitCodes.unavailable;
    default:
      return exitCodes.invalidInput;
  }
}
