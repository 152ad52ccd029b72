import type { DrainTarget } from '@rattanreel/configuration';
import type { CommandContext } from '../types';

const KINDS: Readonly<Record<string, DrainTarget['kind']>> = {
  'failure-domain': 'failureDomain',
  'entry-host': 'entryHost',
  'backend-server': 'backendServer',
};

/** The target that a drain or restore names, such as `failure-domain rennes`; undefined when it names none. */
export default function tryReadDrainTarget(context: CommandContext): DrainTarget | undefined {
  const [word = '', id] = context.input;
  const kind = KINDS[word];
  if (kind === undefined || id === undefined) {
    context.complain(`name a target: ${Object.keys(KINDS).join(' | ')}, and its name`);
    return undefined;
  }
  return { kind, id };
}
