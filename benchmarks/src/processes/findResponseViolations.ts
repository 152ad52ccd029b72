import getExpectedResponse from './getExpectedResponse';
import notRunStatuses from './notRunStatuses';
import type { CallerEnd, ObservedRun, SentRequest, SoakRecord, Violation } from './types';

const HTTP_OK = 200;

function checkResponse(request: SentRequest, end: CallerEnd): readonly Violation[] {
  if (end.kind === 'cut' || end.status !== HTTP_OK) {
    return [];
  }
  const detail = `${request.route} ${request.id}`;
  const violations: Violation[] = [];
  if (end.answersTo !== request.id || end.seal?.startsWith(`${request.id}.`) !== true) {
    violations.push({ promise: 'ownAnswer', detail: `${detail}: answer of ${end.answersTo}` });
  }
  const { route, id, padding } = request;
  if (end.body !== getExpectedResponse(route, id, padding).join('')) {
    violations.push({ promise: 'wholeAnswer', detail: `${detail}: ${end.body.length} characters` });
  }
  return violations;
}

function checkRuns(
  request: SentRequest,
  runs: readonly ObservedRun[],
  end: CallerEnd | undefined,
): readonly Violation[] {
  const detail = `${request.route} ${request.id}: ${runs.map(({ server }) => server).join(', ')}`;
  const violations: Violation[] = [];
  if (request.route === 'order' && runs.length > 1) {
    violations.push({ promise: 'once', detail });
  }
  if (
    request.route === 'order' &&
    runs.length > 0 &&
    end?.kind === 'answered' &&
    notRunStatuses.has(end.status)
  ) {
    violations.push({ promise: 'notRunIsTrue', detail: `${detail}, answered ${end.status}` });
  }
  if (runs.some(({ hasKey, customer }) => hasKey || customer !== request.customer)) {
    violations.push({ promise: 'customerOfTheKey', detail });
  }
  return violations;
}

/**
 * Finds violations of the guarantees for every request under any fault: orders run at most once, a
 * "not run" status of an order is true, a response is complete and belongs to its request, and
 * servers get only requests that were sent, with the customer's name and without its key.
 */
export default function findResponseViolations(record: SoakRecord): readonly Violation[] {
  const runsById = new Map<string, ObservedRun[]>();
  record.runs.forEach((run) => runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]));
  const unknownIds = [...runsById.keys()].filter((id) => !record.sent.has(id));
  return [
    ...unknownIds.map((id) => ({ promise: 'asked', detail: `${id} ran and nobody sent it` })),
    ...[...record.sent.values()].flatMap((request) => {
      const end = record.ends.get(request.id);
      const responseViolations = end === undefined ? [] : checkResponse(request, end);
      return [...responseViolations, ...checkRuns(request, runsById.get(request.id) ?? [], end)];
    }),
  ];
}
