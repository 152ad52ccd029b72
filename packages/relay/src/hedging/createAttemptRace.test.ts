import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestServer from '../testing/createTestServer';
import type { AttemptFigures, AttemptOutcome } from '../types';
import createAttemptRace from './createAttemptRace';
import type { StartCopy } from './types';

type StartedCopy = Parameters<StartCopy>[0];
type Step =
  | { readonly copy: 0 | 1; readonly event: 'head' | 'data' }
  | { readonly copy: 0 | 1; readonly event: 'end'; readonly end: AttemptOutcome };

interface RaceCase {
  readonly name: string;
  readonly isStream: boolean;
  readonly steps: readonly Step[];
  /** What the caller gets, what is cancelled, and how the race ends. */
  readonly expected: readonly string[];
}

const WHOLE: AttemptOutcome = { kind: 'whole', status: 200 };
const FAILURE: AttemptOutcome = { kind: 'whole', status: 500 };
const BROKEN: AttemptOutcome = { kind: 'broken', reason: 'reset' };

function respond(copy: 0 | 1, end: AttemptOutcome): readonly Step[] {
  return [
    { copy, event: 'head' },
    { copy, event: 'data' },
    { copy, event: 'end', end },
  ];
}

function createFigures(end: AttemptOutcome): AttemptFigures {
  const timing = { duration: 1, firstDataAfter: 1, laterChunks: 0, laterTime: 0, outputTokens: 1 };
  return { end, ...timing };
}

/** Runs two copies through the steps; records what happens. */
function play({ isStream, steps }: RaceCase): readonly string[] {
  const record: string[] = [];
  const copies: StartedCopy[] = [];
  const race = createAttemptRace({
    isStream,
    response: {
      isCommitted: () => false,
      canResume: () => false,
      getLastEventId: () => undefined,
      onHead: ({ headers }) => record.push(`head ${String(headers.from)}`),
      onData(chunk) {
        record.push(`data ${chunk.toString()}`);
        return true;
      },
      finish: () => undefined,
    },
    startCopy(copy) {
      const index = copies.push(copy) - 1;
      return {
        abort(reason) {
          record.push(`cancel ${index}`);
          copy.onEnd(createFigures({ kind: 'aborted', reason }));
        },
        resume: () => undefined,
      };
    },
    onData: () => undefined,
    onCopyEnd: () => undefined,
    onEnd({ server, figures, open }) {
      record.push(`ended by ${server}: ${figures.end.kind}`);
      if (figures.end.kind === 'whole') {
        open();
      }
    },
  });
  ['s0', 's1'].forEach((id) =>
    race.start({
      server: createTestServer({ id }).listed,
      view: { own: 0, others: 0, slowness: 1, failures: 0 },
      release: () => undefined,
      complete: () => undefined,
      recordLoad: () => undefined,
      recordLeaving: () => undefined,
    }),
  );
  steps.forEach((step) => {
    const copy = copies[step.copy]!;
    switch (step.event) {
      case 'head': {
        const headers = { from: `s${step.copy}` };
        copy.response.onHead({ status: 200, headers, isDelimitedByClose: false });
        return;
      }
      case 'data':
        copy.onData();
        copy.response.onData(Buffer.from(String(step.copy)));
        return;
      case 'end':
        copy.onEnd(createFigures(step.end));
        return;
      default:
        step satisfies never;
    }
  });
  return record;
}

describe(createAttemptRace.name, () => {
  const cases: readonly RaceCase[] = [
    {
      name: 'passes on the hedge that is complete first, and cancels the first copy at once',
      isStream: false,
      steps: [{ copy: 0, event: 'head' }, ...respond(1, WHOLE)],
      expected: ['cancel 0', 'ended by s1: whole', 'head s1', 'data 1'],
    },
    {
      name: 'passes on a late response of the first server, not a mixture of both',
      isStream: false,
      steps: [{ copy: 1, event: 'head' }, { copy: 1, event: 'data' }, ...respond(0, WHOLE)],
      expected: ['cancel 1', 'ended by s0: whole', 'head s0', 'data 0'],
    },
    {
      name: 'decides a stream by its first event',
      isStream: true,
      steps: [{ copy: 0, event: 'head' }, ...respond(1, WHOLE)],
      expected: ['cancel 0', 'head s1', 'data 1', 'ended by s1: whole'],
    },
    {
      name: 'waits for the other copy when one breaks',
      isStream: false,
      steps: [{ copy: 0, event: 'end', end: BROKEN }, ...respond(1, WHOLE)],
      expected: ['ended by s1: whole', 'head s1', 'data 1'],
    },
    {
      name: 'discards no complete failure when the other copy breaks',
      isStream: false,
      steps: [...respond(0, FAILURE), { copy: 1, event: 'end', end: BROKEN }],
      expected: ['ended by s0: whole', 'head s0', 'data 0'],
    },
    {
      name: 'ends once when both break',
      isStream: false,
      steps: [
        { copy: 0, event: 'end', end: BROKEN },
        { copy: 1, event: 'end', end: BROKEN },
      ],
      expected: ['ended by s1: broken'],
    },
    {
      name: 'ends as broken when the stream that won breaks off',
      isStream: true,
      steps: [...respond(0, BROKEN)],
      expected: ['cancel 1', 'head s0', 'data 0', 'ended by s0: broken'],
    },
  ];
  for (const raceCase of cases) {
    it(raceCase.name, () => expect(play(raceCase)).toEqual([...raceCase.expected]));
  }
});
