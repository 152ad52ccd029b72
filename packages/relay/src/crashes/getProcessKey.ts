import type { ServerProcess } from '../types';
import type { ProcessKey } from './types';

/** Returns the key of a server's process. A server that starts again has another one. */
export default function getProcessKey({ id, startedAt }: ServerProcess): ProcessKey {
  return `${id} ${startedAt ?? ''}`;
}
