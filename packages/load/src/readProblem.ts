import type { CallerOutcome, ReadProblem } from './types';

interface ProblemBody {
  readonly type?: string;
  readonly execution?: string;
  readonly request?: string;
}

const CLIENT_ERROR_FIRST = 400;
const SERVER_ERROR_FIRST = 500;

function parseProblem(text: string): ProblemBody {
  try {
    return JSON.parse(text) as ProblemBody;
  } catch {
    return {};
  }
}

function outcomeOf(status: number, execution: string | undefined): CallerOutcome {
  switch (execution) {
    case 'not-run':
      return status >= CLIENT_ERROR_FIRST && status < SERVER_ERROR_FIRST
        ? 'rejected'
        : 'refusedNotRun';
    case 'may-have-run':
      return 'mayHaveRun';
    case 'partly-run':
      return 'partlyRun';
    case undefined:
    default:
      return 'cutShort';
  }
}

/** Reads a problem document, or what stands in its place. */
export default function readProblem(status: number, text: string): ReadProblem {
  const body = parseProblem(text);
  return {
    outcome: outcomeOf(status, body.execution),
    problem: body.type ?? `status ${status}`,
    request: body.request,
  };
}
