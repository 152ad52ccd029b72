import type { Context } from 'hono';
import type { ChangeError } from '@rattanreel/configuration';
import administrationProblems from './administrationProblems';
import sendAdministrationProblem from './sendAdministrationProblem';

/** Answers with the problem document for a failed change of the configuration. */
export default function sendChangeError(context: Context, error: ChangeError): never {
  switch (error.kind) {
    case 'changeConflict':
      return sendAdministrationProblem(context, administrationProblems.changeConflict, {
        basedOn: error.basedOn,
        currentGeneration: error.current.generation,
        differences: error.differences.map(({ kind, path, before, after }) => ({
          kind,
          path,
          before,
          after,
        })),
      });
    case 'storeUnavailable':
      return sendAdministrationProblem(context, administrationProblems.storeUnavailable, {
        detail: error.error.kind,
      });
    case 'changeOutcomeUnknown':
      return sendAdministrationProblem(context, administrationProblems.outcomeUnknown, {
        changeId: error.changeId,
      });
    case 'unknownDrainTarget':
      return sendAdministrationProblem(context, administrationProblems.notFound, {
        detail: `${error.target.kind} ${error.target.id}`,
      });
    case 'storeBehind':
      return sendAdministrationProblem(context, administrationProblems.storeBehind, {
        storeGeneration: error.storeGeneration,
        knownGeneration: error.knownGeneration,
      });
    case 'noConfiguration':
      return sendAdministrationProblem(context, administrationProblems.noConfiguration);
    case 'unreadableConfiguration':
      return sendAdministrationProblem(context, administrationProblems.unreadable, {
        detail: error.error,
      });
    default:
      return error satisfies never;
  }
}
