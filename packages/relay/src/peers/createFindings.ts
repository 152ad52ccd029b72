import type { ServerLimits } from '../limits/types';
import type { PromptGuard } from '../prompts/types';
import type { Findings } from './types';

interface FindingsOptions {
  readonly promptGuard: Pick<PromptGuard, 'merge' | 'tryGetReport'>;
  readonly serverLimits: Pick<ServerLimits, 'merge' | 'tryGetReport'>;
}

/** Joins what hosts tell each other about prompts and servers, so that it needs one message. */
export default function createFindings({ promptGuard, serverLimits }: FindingsOptions): Findings {
  return {
    merge({ prompts, limits }) {
      if (prompts !== undefined) {
        promptGuard.merge(prompts);
      }
      if (limits !== undefined) {
        serverLimits.merge(limits);
      }
    },
    tryGetReport() {
      const prompts = promptGuard.tryGetReport();
      const limits = serverLimits.tryGetReport();
      return prompts === undefined && limits === undefined
        ? undefined
        : { kind: 'findings', prompts, limits };
    },
  };
}
