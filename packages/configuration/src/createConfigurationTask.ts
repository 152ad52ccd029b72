import type { Clock, Outcome, Random, Timer } from '@rattanreel/core';
import type { ObjectStore, Watch, WatchEvent } from '@rattanreel/platform';
import { match } from 'ts-pattern';
import applyChange from './applyChange';
import configurationLocation from './changes/configurationLocation';
import createConfigurationReplica from './createConfigurationReplica';
import type {
  AppliedChange,
  ChangeError,
  ConfigurationEffect,
  ConfigurationReplicaOptions,
  ConfigurationMessage,
  ConfigurationTask,
  ConfigurationTaskListener,
  LocalDrain,
} from './types';

interface ConfigurationTaskOptions extends Omit<ConfigurationReplicaOptions, 'startedAt'> {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly listener: ConfigurationTaskListener;
}

/**
 * Runs a configuration replica: reads and watches the store for it, records local drains, and
 * applies changes.
 */
export default function createConfigurationTask(
  options: ConfigurationTaskOptions,
): ConfigurationTask {
  const { store, clock, random, listener } = options;
  const { objectKind, name } = configurationLocation;
  const replica = createConfigurationReplica({ ...options, startedAt: clock.now() });
  const recording = new Set<string>();
  let watch: Watch | undefined;
  let timer: Timer | undefined;
  let closed = false;

  function handle(message: ConfigurationMessage): void {
    if (closed) {
      return;
    }
    replica.handle(message, clock.now()).forEach(applyEffect);
    timer?.cancel();
    const wait = replica.getNextWakeUp(clock.now()) - clock.now();
    timer = clock.after(wait, () => handle({ kind: 'timePassed' }));
  }

  async function readStore(): Promise<void> {
    const read = await store.get(objectKind, name);
    if (read.kind === 'ok') {
      handle({ kind: 'storeOffered', value: read.value.value });
    } else if (read.error.kind === 'notFound') {
      handle({ kind: 'storeOffered', value: undefined });
    } else {
      handle({ kind: 'storeFailed' });
    }
  }

  function handleWatchEvent(event: WatchEvent): void {
    match(event)
      .with({ kind: 'changed' }, ({ object }) => {
        if (object.name === name) {
          handle({ kind: 'storeOffered', value: object.value });
        }
      })
      .with({ kind: 'listed' }, ({ list }) => {
        const object = list.items.find((item) => item.name === name);
        handle({ kind: 'storeOffered', value: object?.value });
      })
      // The active configuration stays when it is removed from the store.
      .with({ kind: 'removed' }, () => undefined)
      .with({ kind: 'lost' }, () => handle({ kind: 'storeFailed' }))
      .exhaustive();
  }

  function setWatching(watching: boolean): void {
    watch?.close();
    watch = watching ? store.watch(objectKind, handleWatchEvent, name) : undefined;
  }

  async function recordLocalDrain({ id, target, author }: LocalDrain): Promise<void> {
    if (recording.has(id)) {
      return;
    }
    recording.add(id);
    const applied = await apply({
      change: { kind: 'drain', target, localDrain: id },
      author,
      changeId: id,
    });
    recording.delete(id);
    if (applied.kind === 'error') {
      listener.onRecordFailed?.(id, applied.error);
    }
  }

  async function apply(
    request: Parameters<ConfigurationTask['apply']>[0],
  ): Promise<Outcome<AppliedChange, ChangeError>> {
    const current = request.basedOn ?? replica.status().activeConfiguration;
    const applied = await applyChange({ store, clock, random, ...request, current });
    if (applied.kind === 'ok') {
      handle({ kind: 'storeOffered', value: applied.value.configuration });
    }
    return applied;
  }

  function applyEffect(effect: ConfigurationEffect): void {
    match(effect)
      .with({ kind: 'sendToPeer' }, (send) => listener.onSend(send))
      .with({ kind: 'settingsInForce' }, (settingsEffect) => listener.onSettings(settingsEffect))
      .with({ kind: 'readStore' }, () => {
        readStore().catch(() => handle({ kind: 'storeFailed' }));
      })
      .with({ kind: 'watchStore' }, ({ watching }) => setWatching(watching))
      .with({ kind: 'recordLocalDrain' }, ({ drain }) => {
        recordLocalDrain(drain).catch(() => recording.delete(drain.id));
      })
      .with({ kind: 'offerRejected' }, ({ error }) => listener.onRejected?.(error))
      .exhaustive();
  }

  handle({ kind: 'timePassed' });
  return {
    handle,
    apply,
    status: () => replica.status(),
    close() {
      closed = true;
      timer?.cancel();
      watch?.close();
    },
  };
}
