import getExpectedAnswer from './getExpectedAnswer';
import notRunStatuses from './notRunStatuses';
import type { CallerEnd, SeenRun, SentRequest, SoakRecord, Violation } from './types';

const HTTP_OK = 200;

function judgeAnswer(request: SentRequest, end: CallerEnd): readonly Violation[] {
  if (end.kind === 'cut' || end.status !== HTTP_OK) {
    return [];
  }
  const detail = `${request.route} ${request.id}`;
  const violations: Violation[] = [];
  if (end.answersTo !== request.id || end.seal?.startsWith(`${request.id}.`) !== true) {
    violations.push({ promise: 'ownAnswer', detail: `${detail}: answer of ${end.answersTo}` });
  }
  if (end.body !== getExpectedAnswer(request.route, request.id).join('')) {
    violations.push({ promise: 'wholeAnswer', detail: `${detail}: ${end.body.length} characters` });
  }
  return violations;
}

function judgeRuns(
  request: SentRequest,
  runs: readonly SeenRun[],
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

/** What must hold of every single request, whatever else happens: once, honest, whole, its own. */
export default function findAnswerViolations(record: SoakRecord): readonly Violation[] {
  const runsById = new Map<string, SeenRun[]>();
  record.runs.forEach((run) => runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]));
  const unasked = [...runsById.keys()].filter((id) => !record.sent.has(id));
  return [
    ...unasked.map((id) => ({ promise: 'asked', detail: `${id} ran and nobody sent it` })),
    ...[...record.sent.values()].flatMap((request) => {
      const end = record.ends.get(request.id);
      const answer = end === undefined ? [] : judgeAnswer(request, end);
      return [...answer, ...judgeRuns(request, runsById.get(request.id) ?? [], end)];
    }),
  ];
}
