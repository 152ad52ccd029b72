import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { settleWrite } from '@rattanreel/platform';
import type { StoredObject, StoreError } from '@rattanreel/platform';
import changeSettings from './changes/changeSettings';
import storedConfiguration from './changes/storedConfiguration';
import diffSettings from './diffSettings';
import parseAcceptedConfiguration from './parseAcceptedConfiguration';
import type {
  AcceptedConfiguration,
  AppliedChange,
  ApplyChangeOptions,
  ChangeError,
} from './types';

const RECENT_CHANGES_KEPT = 64;
/** Changes by others that a drain or a restore gives way to before it gives up. */
const REBASES = 16;

type Attempt = Outcome<AppliedChange, ChangeError> | { readonly kind: 'overtaken' };

interface Standing {
  readonly object: StoredObject | undefined;
  readonly configuration: AcceptedConfiguration | undefined;
}

/**
 * Has the store accept a change as the next generation. Replaced settings are accepted only on top of
 * the configuration that they were based on; a drain or a restore is put on top of what stands.
 */
export default async function applyChange(
  options: ApplyChangeOptions,
): Promise<Outcome<AppliedChange, ChangeError>> {
  for (let rebase = 0; rebase <= REBASES; rebase += 1) {
    const attempt = await attemptChange(options);
    if (attempt.kind !== 'overtaken') {
      return attempt;
    }
  }
  return fail({ kind: 'storeUnavailable', error: { kind: 'conflict', current: undefined } });
}

async function attemptChange(options: ApplyChangeOptions): Promise<Attempt> {
  const read = await readStanding(options);
  if (read.kind === 'error') {
    return read;
  }
  const { configuration } = read.value;
  const settled = configuration && findOwn(options, configuration);
  if (settled !== undefined) {
    return ok(settled);
  }
  const objection = findObjection(options, configuration);
  if (objection !== undefined) {
    return fail(objection);
  }
  const next = createNext(options, configuration);
  if (next.kind === 'error') {
    return next;
  }
  if (next.value === undefined) {
    const standing = configuration!;
    return ok({ kind: 'unchanged', generation: standing.generation, configuration: standing });
  }
  return write(options, read.value, next.value);
}

async function readStanding({
  store,
}: ApplyChangeOptions): Promise<Outcome<Standing, ChangeError>> {
  const read = await store.get(storedConfiguration.objectKind, storedConfiguration.name);
  if (read.kind === 'error') {
    return read.error.kind === 'notFound'
      ? ok({ object: undefined, configuration: undefined })
      : fail({ kind: 'storeUnavailable', error: read.error });
  }
  const parsed = parseAcceptedConfiguration(read.value.value);
  return parsed.kind === 'error'
    ? fail({ kind: 'unreadableConfiguration', error: parsed.error })
    : ok({ object: read.value, configuration: parsed.value });
}

/** The change itself, when it is found among those accepted. */
function findOwn(
  { changeId }: ApplyChangeOptions,
  configuration: AcceptedConfiguration,
): AppliedChange | undefined {
  const changes = configuration.recentChanges ?? [configuration];
  const own = changes.find((change) => change.changeId === changeId);
  return own && { kind: 'alreadyAccepted', generation: own.generation, configuration };
}

function findObjection(
  { change, current }: ApplyChangeOptions,
  standing: AcceptedConfiguration | undefined,
): ChangeError | undefined {
  const knownGeneration = current?.generation ?? 0;
  const storeGeneration = standing?.generation ?? 0;
  if (storeGeneration < knownGeneration) {
    return { kind: 'storeBehind', storeGeneration, knownGeneration };
  }
  if (change.kind !== 'replaceSettings' || standing === undefined) {
    return undefined;
  }
  if (storeGeneration === knownGeneration) {
    return undefined;
  }
  return createConflict(current, standing);
}

function createConflict(
  base: AcceptedConfiguration | undefined,
  current: AcceptedConfiguration,
): ChangeError {
  const differences = base === undefined ? [] : diffSettings(base.settings, current.settings);
  return { kind: 'changeConflict', basedOn: base?.generation ?? 0, current, differences };
}

/** The configuration to write; undefined when the change changes nothing. */
function createNext(
  options: ApplyChangeOptions,
  standing: AcceptedConfiguration | undefined,
): Outcome<AcceptedConfiguration | undefined, ChangeError> {
  const { author, change, changeId, clock } = options;
  const generation = (standing?.generation ?? 0) + 1;
  const base =
    standing?.settings ?? (change.kind === 'replaceSettings' ? change.settings : undefined);
  if (base === undefined) {
    return fail({ kind: 'noConfiguration' });
  }
  const changed = changeSettings(base, change);
  if (changed.kind === 'error') {
    return changed;
  }
  if (standing !== undefined && changed.value === standing.settings) {
    return ok(undefined);
  }
  const recentChanges = [...(standing?.recentChanges ?? []), { generation, changeId }];
  return ok({
    kind: 'acceptedConfiguration',
    generation,
    changeId,
    author,
    acceptedAt: clock.wallTime().toISOString(),
    settings: changed.value,
    recentChanges: recentChanges.slice(-RECENT_CHANGES_KEPT),
  });
}

async function write(
  options: ApplyChangeOptions,
  { object }: Standing,
  next: AcceptedConfiguration,
): Promise<Attempt> {
  const { changeId, clock, random, store } = options;
  const { objectKind, name } = storedConfiguration;
  const settled = await settleWrite<AcceptedConfiguration>({
    write: () =>
      object === undefined
        ? store.create(objectKind, name, next)
        : store.update(objectKind, name, next, object.version),
    isOwn: ({ value }) => isChange(value, changeId),
    clock,
    random,
  });
  switch (settled.kind) {
    case 'written':
      return ok({ kind: 'accepted', generation: next.generation, configuration: next });
    case 'superseded':
      // The next attempt reads what stands now and finds this change there if it was accepted.
      return { kind: 'overtaken' };
    case 'inDoubt':
      return fail({ kind: 'changeOutcomeUnknown', changeId });
    case 'notWritten':
      return fail({ kind: 'storeUnavailable', error: settled.error satisfies StoreError });
    default:
      return settled satisfies never;
  }
}

function isChange(value: unknown, changeId: string): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    'changeId' in value &&
    value.changeId === changeId
  );
}
