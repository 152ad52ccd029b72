import { createConfigurationTask as createReplicaTask } from '@rattanreel/configuration';
import type { ConfigurationTask as ConfigurationReplicaTask } from '@rattanreel/configuration';
import createSettingsView from '../createSettingsView';
import type { ConfigurationTask, ConfigurationTaskOptions, SettingsView } from '../types';

/** Runs the configuration replica of this entry host and keeps the lookups built from it. */
export default function createConfigurationTask(
  options: ConfigurationTaskOptions,
): ConfigurationTask {
  const { entryHost, address, store, clock, random, logger } = options;
  let view: SettingsView | undefined;
  let replica: ConfigurationReplicaTask | undefined;

  function start(): void {
    replica = createReplicaTask({
      entryHost,
      address,
      seeds: options.seedPeers.map((peer) => ({ entryHost: peer, address: peer })),
      store,
      clock,
      random,
      listener: {
        onSend: (effect) =>
          options.send(effect.address, { kind: 'configuration', message: effect.message }),
        onSettings({ generation, settings }) {
          view = createSettingsView(settings);
          logger.info({ generation }, 'configuration in force');
          options.onChanged(generation, settings);
        },
        onRejected: (error) => logger.error({ error }, 'unusable configuration rejected'),
        onRecordFailed: (localDrain, error) =>
          logger.warn({ localDrain, error: error.kind }, 'local drain not recorded yet'),
      },
    });
  }

  return {
    start,
    tryGetSettings: () => view,
    tryGetReplica: () => replica,
    handle: (message) => replica?.handle(message),
    close: () => replica?.close(),
  };
}
