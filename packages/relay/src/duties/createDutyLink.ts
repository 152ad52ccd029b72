import type { Sender } from '../admission/types';
import type { HostMessage } from '../peers/types';
import type { Pools } from '../pools/types';
import type { ClusterStateCache, PeerTable } from '../types';
import createDuties from './createDuties';
import measureScaleDemand from './measureScaleDemand';
import type { Duties, DutyFields, DutyOptions } from './types';

type DutiesOptions = Parameters<typeof createDuties>[0];

interface StartOptions extends Pick<
  DutiesOptions,
  'context' | 'self' | 'incarnation' | 'getRole' | 'tryGetScheduler'
> {
  readonly duties?: DutyOptions | undefined;
  readonly stateCache: Pick<ClusterStateCache, 'get' | 'getVersions' | 'isRegistered'>;
  readonly pools: Pools;
  readonly peerTable: PeerTable;
}

interface DutyLink extends DutyFields {
  /** Starts the duties; undefined where the deployment has none. */
  tryStart(options: StartOptions): Duties | undefined;
  /** Takes the duties' part of a message. */
  merge(sender: Pick<Sender, 'entryHost'>, message: HostMessage): void;
  stop(): Promise<void>;
}

/**
 * Connects the duties with this host's messages, which are set up before them. Without duties all
 * messages are as they were.
 */
export default function createDutyLink(): DutyLink {
  let duties: Duties | undefined;
  return {
    tryStart({ stateCache, pools, peerTable, self, ...options }) {
      duties =
        options.duties &&
        createDuties({
          ...options,
          ...options.duties,
          self,
          measure: () =>
            measureScaleDemand({
              now: options.context.clock.now(),
              self,
              pools,
              peerTable,
              stateCache,
            }),
          getStoreEra: () => stateCache.getVersions().storeEra,
          tryGetPeers: () =>
            stateCache.isRegistered
              ? stateCache.get().peers?.filter(({ entryHost }) => entryHost !== self.entryHost)
              : undefined,
        });
      return duties;
    },
    merge(sender, message) {
      if (message.kind === 'status' && message.windowTime !== undefined) {
        duties?.recordPeerTime(message.entryHost, message.windowTime);
      }
      if (message.kind === 'summary' && message.usage !== undefined) {
        duties?.merge(message.entryHost, message.usage, 'peer');
      }
      const isToScheduler =
        message.kind === 'report' || message.kind === 'ask' || message.kind === 'return';
      if (isToScheduler && message.usage !== undefined) {
        duties?.merge(sender.entryHost, message.usage, 'scheduled');
      }
    },
    tryGetReport: (recipient) => duties?.tryGetReport(recipient),
    tryGetWindowTime: () => duties?.tryGetWindowTime(),
    async stop() {
      await duties?.stop();
    },
  };
}
