import { describe, it } from 'node:test';
import { expect } from 'earl';
import planMove from './planMove';

const MINUTE = 60_000;

describe(planMove.name, () => {
  const cases = [
    { name: 'an hour', span: 60 * MINUTE, requestsPerSecond: undefined, steps: 9, first: 0.01 },
    { name: 'ten minutes', span: 10 * MINUTE, requestsPerSecond: undefined, steps: 9, first: 0.01 },
    { name: 'two minutes', span: 2 * MINUTE, requestsPerSecond: undefined, steps: 5, first: 0.01 },
    { name: 'a quiet pool', span: 60 * MINUTE, requestsPerSecond: 0.5, steps: 9, first: 0.1 },
    { name: 'a busy pool', span: 60 * MINUTE, requestsPerSecond: 100, steps: 9, first: 0.01 },
  ];
  for (const { name, span, requestsPerSecond, steps, first } of cases) {
    it(`plans growing shares with a margin before the deadline for ${name}`, () => {
      const startedAt = 1_000_000;
      const options = { pool: 'drafts', from: '1', to: '2', startedAt, bakeTime: MINUTE };
      const plan = planMove({ ...options, deadline: startedAt + span, requestsPerSecond });
      if (plan.kind === 'error') {
        expect(plan).toLooseEqual({ kind: 'ok' });
        return;
      }
      expect(plan.value.length).toEqual(steps);
      expect(Math.abs(plan.value[0]!.share - first) < 1e-9).toEqual(true);
      expect(plan.value[0]!.notBefore).toEqual(startedAt);
      expect(plan.value.at(-1)).toEqual({ share: 1, notBefore: startedAt + span * 0.75 });
      plan.value.slice(1).forEach((step, index) => {
        expect(step.share).toBeGreaterThan(plan.value[index]!.share);
        expect(step.notBefore - plan.value[index]!.notBefore).toBeGreaterThanOrEqual(20_000);
      });
    });
  }

  const refused = [
    { name: 'the same version', to: '1', span: 60 * MINUTE, kind: 'sameVersion' },
    { name: 'a deadline too near', to: '2', span: 30_000, kind: 'deadlineTooNear' },
  ];
  for (const { name, to, span, kind } of refused) {
    it(`refuses ${name}`, () => {
      const times = { startedAt: 0, deadline: span, bakeTime: MINUTE };
      const plan = planMove({ pool: 'drafts', from: '1', to, ...times });
      expect(plan.kind === 'error' ? plan.error.kind : '').toEqual(kind);
    });
  }
});
