import type { AcceptedConfiguration } from '@rattanreel/configuration';
import type { Watch, WatchEvent } from '@rattanreel/platform';
import createSettingsView from '../createSettingsView';
import type { ConfigurationTask, ConfigurationTaskOptions, SettingsView } from '../types';

const CONFIGURATION_KIND = 'configuration';

/** Keeps the configuration in force at this entry host: only a higher generation replaces it. */
export default function createConfigurationTask(
  options: ConfigurationTaskOptions,
): ConfigurationTask {
  const { store, transport } = options;
  let accepted: AcceptedConfiguration | undefined;
  let view: SettingsView | undefined;
  let watch: Watch | undefined;

  function offer(offered: AcceptedConfiguration | undefined): void {
    if (offered === undefined || offered.generation <= (accepted?.generation ?? 0)) {
      return;
    }
    accepted = offered;
    view = createSettingsView(offered.settings);
    options.onChanged(offered);
  }

  async function fetchFromPeer(address: string): Promise<void> {
    const answer = await transport.ask(address, { kind: 'configuration' });
    if (answer.kind === 'ok' && answer.value.kind === 'configuration') {
      offer(answer.value.configuration);
    }
  }

  function askPeer(address: string): void {
    void fetchFromPeer(address);
  }

  function onStoreEvent(event: WatchEvent<AcceptedConfiguration>): void {
    if (event.kind === 'listed') {
      event.list.items.forEach(({ value }) => offer(value));
    } else if (event.kind === 'changed') {
      offer(event.object.value);
    }
  }

  return {
    start() {
      watch = store.watch<AcceptedConfiguration>(CONFIGURATION_KIND, onStoreEvent);
      options.seedPeers.forEach(askPeer);
    },
    tryGetSettings: () => view,
    tryGetAccepted: () => accepted,
    askPeer,
    close: () => watch?.close(),
  };
}
