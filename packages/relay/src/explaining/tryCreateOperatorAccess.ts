import type { EntryHostId } from '@rattanreel/core';
import createTimeCheck from '../lateness/createTimeCheck';
import createRequestExplainer from './createRequestExplainer';
import expectedRandom from './expectedRandom';
import type { OperatorAccess } from './types';

type ExplainerOptions = Parameters<typeof createRequestExplainer>[0];
type TimeCheckOptions = Parameters<typeof createTimeCheck>[0];

interface OperatorAccessOptions extends Omit<ExplainerOptions, 'host' | 'timeCheck'> {
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
  return token === undefined
    ? undefined
    : { token, explain: createRequestExplainer({ ...options, host, timeCheck }) };
}
