import type { CallerOutcome, ParsedProblem } from './types';

interface ProblemBody {
  readonly type?: string;
  readonly execution?: string;
  readonly request?: string;
}

const FIRST_CLIENT_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

function parseProblemBody(text: string): ProblemBody {
  try {
    return JSON.parse(text) as ProblemBody;
  } catch {
    return {};
  }
}

function classifyOutcome(status: number, execution: string | undefined): CallerOutcome {
  switch (execution) {
    case 'not-run':
      return status >= FIRST_CLIENT_ERROR_STATUS && status < FIRST_SERVER_ERROR_STATUS
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

/** Reads a problem document; without a known `execution` the outcome is `cutShort`. */
export default function readProblem(status: number, text: string): ParsedProblem {
  const body = parseProblemBody(text);
  return {
    outcome: classifyOutcome(status, body.execution),
    problem: body.type ?? `status ${status}`,
    request: body.request,
  };
}
