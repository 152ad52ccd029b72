import { Debug } from '@rattanreel/core';
import type { SettingsView } from '../types';
import type { CallerServices, GetBackendServerAddress } from './types';

/**
 * Creates the lookup of a request's servers. Settings may change while it waits: a server that was
 * added may be granted, and one that was removed may have been granted before.
 */
export default function createAddressLookup(
  services: Pick<CallerServices, 'tryGetSettings'>,
  settings: SettingsView,
): GetBackendServerAddress {
  return (backendServer) => {
    const server =
      services.tryGetSettings()?.tryFindBackendServer(backendServer) ??
      settings.tryFindBackendServer(backendServer);
    return Debug.checkDefined(server, backendServer).address;
  };
}
