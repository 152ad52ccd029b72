import type { Exploration, ModelDefinition } from './types';

interface ModelCheckOptions {
  readonly models: readonly ModelDefinition[];
  /** Name of the guard to drop; `undefined` checks every model with all guards. */
  readonly droppedGuard: string | undefined;
  readonly print: (line: string) => void;
}

type ExitCode = 0 | 1 | 2;

function formatViolation(
  exploration: Extract<Exploration, { kind: 'violated' }>,
): readonly string[] {
  return [
    `  VIOLATED ${exploration.invariant}, after ${exploration.states} states; a shortest trace:`,
    ...exploration.trace.flatMap(({ event, state }, index) => [
      `  ${index + 1}. ${event}`,
      `     ${state}`,
    ]),
  ];
}

function formatExploration(model: ModelDefinition, exploration: Exploration): readonly string[] {
  switch (exploration.kind) {
    case 'holds':
      return [
        `  ${exploration.states} states, ${exploration.transitions} transitions, all explored`,
        ...model.invariants.map((name) => `  ok ${name}`),
      ];
    case 'violated':
      return formatViolation(exploration);
    case 'limitReached':
      return [`  LIMIT of ${exploration.limit} transitions reached: nothing is proved`];
    default:
      return exploration satisfies never;
  }
}

/**
 * Checks all models, or only those that have the dropped guard. Returns 0 if all invariants hold,
 * 1 if a model fails and 2 if the guard is unknown.
 */
export default function runModelCheck({
  models,
  droppedGuard,
  print,
}: ModelCheckOptions): ExitCode {
  const isSelected = ({ guards }: ModelDefinition): boolean =>
    droppedGuard === undefined || guards.some(({ name }) => name === droppedGuard);
  const selected = models.filter(isSelected);
  if (selected.length === 0) {
    print(`unknown guard: ${droppedGuard}; the guards are:`);
    models.forEach(({ guards }) => guards.forEach(({ name }) => print(`  ${name}`)));
    return 2;
  }
  let exitCode: ExitCode = 0;
  for (const model of selected) {
    print(`${model.name} (${model.bounds})`);
    const exploration = model.explore(droppedGuard);
    formatExploration(model, exploration).forEach(print);
    if (exploration.kind !== 'holds') {
      exitCode = 1;
    }
  }
  return exitCode;
}
