import { describe, it } from 'node:test';
import { expect } from 'earl';
import models from './models';
import runModelCheck from './runModelCheck';

describe('models of the core protocol', () => {
  models.forEach((model) => {
    it(`${model.name}: every invariant holds in every state`, () => {
      expect(model.explore().kind).toEqual('holds');
    });

    model.guards.forEach((guard) => {
      it(`${model.name}: without ${guard.name}, ${guard.invariant} is violated`, () => {
        const exploration = model.explore(guard.name);
        const violated = exploration.kind === 'violated' ? exploration.invariant : undefined;
        expect(violated).toEqual(guard.invariant);
      });
    });
  });

  it('have a guard for every invariant', () => {
    const unguarded = models.flatMap(({ invariants, guards }) =>
      invariants.filter(
        (invariant) =>
          !guards.some(({ invariant: guardInvariant }) => guardInvariant === invariant),
      ),
    );
    expect(unguarded).toEqual([]);
  });
});

describe(runModelCheck.name, () => {
  it('lists the guards when it is given an unknown one', () => {
    const lines: string[] = [];
    const exitCode = runModelCheck({
      models,
      droppedGuard: 'no-such-guard',
      print: (line) => lines.push(line),
    });
    expect(exitCode).toEqual(2);
    expect(lines.length).toEqual(1 + models.flatMap(({ guards }) => guards).length);
  });

  it('prints a trace and fails when a guard is dropped', () => {
    const lines: string[] = [];
    const droppedGuard = models[0]!.guards[0]!.name;
    const exitCode = runModelCheck({ models, droppedGuard, print: (line) => lines.push(line) });
    expect(exitCode).toEqual(1);
    expect(lines.some((line) => line.startsWith('  1. '))).toEqual(true);
  });
});
