import type { EntryHostId } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createTimeCheck from '../lateness/createTimeCheck';
import createRequestExplainer from './createRequestExplainer';
import expectedRandom from './expectedRandom';
import type { OperatorAccess } from './types';

type ExplainerOptions = Parameters<typeof createRequestExplainer>[0];
type TimeCheckOptions = Parameters<typeof createTimeCheck>[0];

interface OperatorAccessOptions extends Omit<ExplainerOptions, 'host' | 'timeCheck'> {
  readonly logger: Logger;
  readonly entryHost: EntryHostId;
  /** Undefined where operators' queries are off. */
  readonly operatorToken?: string | undefined;
  readonly timeCheckOptions: Omit<TimeCheckOptions, 'random'>;
}

/** Creates the operators' queries; undefined where no token is set. */
export default function tryCreateOperatorAccess(
  options: OperatorAccessOptions,
): OperatorAccess | undefined {
  const { operatorToken: token, entryHost: host, timeCheckOptions } = options;
  const timeCheck = createTimeCheck({ ...timeCheckOptions, random: expectedRandom });
  const explain = createRequestExplainer({ ...options, host, timeCheck });
  return token === undefined
    ? undefined
    : {
        token,
        explain(query) {
          const explanation = explain(query);
          const [path] = query.target.split('?', 1);
          const outcomes =
            explanation.kind === 'planned'
              ? explanation.targets.map(({ outcome }) => outcome.kind)
              : [explanation.code];
          options.logger.info({ hostName: query.hostName, path, outcomes }, 'request explained');
          return explanation;
        },
      };
}
