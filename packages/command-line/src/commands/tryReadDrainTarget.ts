import type { DrainTarget } from '@rattanreel/configuration';
import type { CommandContext } from '../types';

const TARGET_KINDS: Readonly<Record<string, DrainTarget['kind']>> = {
  'failure-domain': 'failureDomain',
  'entry-host': 'entryHost',
  'backend-server': 'backendServer',
};

/**
 * Reads the target of a drain or restore, such as `failure-domain rennes`; prints an error and
 * returns undefined when the command names none.
 */
export default function tryReadDrainTarget(context: CommandContext): DrainTarget | undefined {
  const [kindName = '', id] = context.input;
  const kind = TARGET_KINDS[kindName];
  if (kind === undefined || id === undefined) {
    context.printError(`name a target: ${Object.keys(TARGET_KINDS).join(' | ')}, and its name`);
    return undefined;
  }
  return { kind, id };
}
