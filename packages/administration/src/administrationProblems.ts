import type { AdministrationProblemType } from './types';

/** Problem types of the administration API. */
const administrationProblems = {
  unknownToken: { code: 'unknown-token', status: 401, title: 'The token is missing or not known' },
  operatorNeeded: {
    code: 'operator-needed',
    status: 403,
    title: 'The token has the viewer role; this call needs the operator role',
  },
  malformed: { code: 'malformed-call', status: 400, title: 'The call has the wrong form' },
  notFound: { code: 'not-found', status: 404, title: 'There is no such thing' },
  noConfiguration: {
    code: 'no-configuration',
    status: 503,
    title: 'This entry host has no configuration yet',
  },
  changeConflict: {
    code: 'change-conflict',
    status: 412,
    title: 'Another change was accepted first; see the differences',
  },
  storeUnavailable: {
    code: 'store-unavailable',
    status: 503,
    title: "The platform's store does not answer; nothing was changed",
  },
  outcomeUnknown: {
    code: 'change-outcome-unknown',
    status: 504,
    title: 'The change may have been accepted; send it again under the same change id',
  },
  storeBehind: {
    code: 'store-behind',
    status: 409,
    title: 'The store holds an older configuration than the one in force',
  },
  unreadable: {
    code: 'unreadable-configuration',
    status: 422,
    title: 'The configuration in the store cannot be read',
  },
  moveRefused: {
    code: 'move-refused',
    status: 409,
    title: 'The move cannot be started or changed',
  },
} as const satisfies Readonly<Record<string, AdministrationProblemType>>;

export default administrationProblems;
