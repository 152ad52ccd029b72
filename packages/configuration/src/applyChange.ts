import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { retryConditionalWrite } from '@rattanreel/platform';
import type { StoredObject, StoreError } from '@rattanreel/platform';
import changeSettings from './changes/changeSettings';
import configurationLocation from './changes/configurationLocation';
import diffSettings from './diffSettings';
import parseAcceptedConfiguration from './parseAcceptedConfiguration';
import type {
  AcceptedConfiguration,
  AppliedChange,
  ApplyChangeOptions,
  ChangeError,
} from './types';

const MAXIMUM_RECENT_CHANGES = 64;
/** Number of concurrent changes after which a drain or a restore gives up. */
const MAXIMUM_REBASES = 16;

type Attempt = Outcome<AppliedChange, ChangeError> | { readonly kind: 'overtaken' };

interface StoredConfiguration {
  readonly object: StoredObject | undefined;
  readonly configuration: AcceptedConfiguration | undefined;
}

/**
 * Writes a change to the store as the next generation. Replaced settings are accepted only on top
 * of the configuration that they were based on; a drain or a restore is applied to the current one.
 */
export default async function applyChange(
  options: ApplyChangeOptions,
): Promise<Outcome<AppliedChange, ChangeError>> {
  for (let rebase = 0; rebase <= MAXIMUM_REBASES; rebase += 1) {
    const attempt = await attemptChange(options);
    if (attempt.kind !== 'overtaken') {
      return attempt;
    }
  }
  return fail({ kind: 'storeUnavailable', error: { kind: 'conflict', current: undefined } });
}

async function attemptChange(options: ApplyChangeOptions): Promise<Attempt> {
  const read = await readStoredConfiguration(options);
  if (read.kind === 'error') {
    return read;
  }
  const { configuration } = read.value;
  const alreadyAccepted = configuration && findAcceptedChange(options, configuration);
  if (alreadyAccepted !== undefined) {
    return ok(alreadyAccepted);
  }
  const failure = findPreconditionFailure(options, configuration);
  if (failure !== undefined) {
    return fail(failure);
  }
  const next = createNextConfiguration(options, configuration);
  if (next.kind === 'error') {
    return next;
  }
  if (next.value === undefined) {
    const stored = configuration!;
    return ok({ kind: 'unchanged', generation: stored.generation, configuration: stored });
  }
  return writeConfiguration(options, read.value, next.value);
}

async function readStoredConfiguration({
  store,
}: ApplyChangeOptions): Promise<Outcome<StoredConfiguration, ChangeError>> {
  const read = await store.get(configurationLocation.objectKind, configurationLocation.name);
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

/** Returns the change when it is among those already accepted. */
function findAcceptedChange(
  { changeId }: ApplyChangeOptions,
  configuration: AcceptedConfiguration,
): AppliedChange | undefined {
  const changes = configuration.recentChanges ?? [configuration];
  const accepted = changes.find((change) => change.changeId === changeId);
  return accepted && { kind: 'alreadyAccepted', generation: accepted.generation, configuration };
}

function findPreconditionFailure(
  { change, current }: ApplyChangeOptions,
  stored: AcceptedConfiguration | undefined,
): ChangeError | undefined {
  const knownGeneration = current?.generation ?? 0;
  const storeGeneration = stored?.generation ?? 0;
  if (storeGeneration < knownGeneration) {
    return { kind: 'storeBehind', storeGeneration, knownGeneration };
  }
  if (change.kind !== 'replaceSettings' || stored === undefined) {
    return undefined;
  }
  if (storeGeneration === knownGeneration) {
    return undefined;
  }
  return createConflict(current, stored);
}

function createConflict(
  base: AcceptedConfiguration | undefined,
  current: AcceptedConfiguration,
): ChangeError {
  const differences = base === undefined ? [] : diffSettings(base.settings, current.settings);
  return { kind: 'changeConflict', basedOn: base?.generation ?? 0, current, differences };
}

/** Returns the configuration to write, or undefined when the change has no effect. */
function createNextConfiguration(
  options: ApplyChangeOptions,
  stored: AcceptedConfiguration | undefined,
): Outcome<AcceptedConfiguration | undefined, ChangeError> {
  const { author, change, changeId, clock } = options;
  const generation = (stored?.generation ?? 0) + 1;
  const base =
    stored?.settings ?? (change.kind === 'replaceSettings' ? change.settings : undefined);
  if (base === undefined) {
    return fail({ kind: 'noConfiguration' });
  }
  const changed = changeSettings(base, change);
  if (changed.kind === 'error') {
    return changed;
  }
  if (stored !== undefined && changed.value === stored.settings) {
    return ok(undefined);
  }
  const recentChanges = [...(stored?.recentChanges ?? []), { generation, changeId }];
  return ok({
    kind: 'acceptedConfiguration',
    generation,
    changeId,
    author,
    acceptedAt: clock.wallTime().toISOString(),
    settings: changed.value,
    recentChanges: recentChanges.slice(-MAXIMUM_RECENT_CHANGES),
  });
}

async function writeConfiguration(
  options: ApplyChangeOptions,
  { object }: StoredConfiguration,
  next: AcceptedConfiguration,
): Promise<Attempt> {
  const { changeId, clock, random, store } = options;
  const { objectKind, name } = configurationLocation;
  const result = await retryConditionalWrite<AcceptedConfiguration>({
    write: () =>
      object === undefined
        ? store.create(objectKind, name, next)
        : store.update(objectKind, name, next, object.version),
    isOwnWrite: ({ value }) => hasChangeId(value, changeId),
    clock,
    random,
  });
  switch (result.kind) {
    case 'written':
      return ok({ kind: 'accepted', generation: next.generation, configuration: next });
    case 'superseded':
      // The next attempt reads the current configuration and finds this change there if it was
      // accepted.
      return { kind: 'overtaken' };
    case 'inDoubt':
      return fail({ kind: 'changeOutcomeUnknown', changeId });
    case 'notWritten':
      return fail({ kind: 'storeUnavailable', error: result.error satisfies StoreError });
    default:
      return result satisfies never;
  }
}

function hasChangeId(value: unknown, changeId: string): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    'changeId' in value &&
    value.changeId === changeId
  );
}
