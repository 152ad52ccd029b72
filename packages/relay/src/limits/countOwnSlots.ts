import type { ListedServer } from '../types';

interface OwnSlotsOptions {
  readonly server: ListedServer;
  /** All servers of the pool. */
  readonly servers: readonly ListedServer[];
  /** Whose slots are counted; undefined counts none. */
  readonly owner: string | undefined;
  /** The hosts, or failure domains, among which all slots of the pool are divided. */
  readonly owners: readonly string[];
}

/**
 * Counts the slots of a server that belong to an owner. Each slot of a pool belongs to one, so
 * that hosts together never send a server more than it has room for, whoever reaches whom. The slots
 * are dealt out in turn by address, which a server keeps when it starts again.
 */
export default function countOwnSlots(options: OwnSlotsOptions): number {
  const { server, servers, owner, owners } = options;
  const ordered = [...new Set(owners)].sort();
  const index = owner === undefined ? -1 : ordered.indexOf(owner);
  if (index < 0) {
    return 0;
  }
  const slotsByAddress = new Map(servers.map(({ address, slots }) => [address, slots]));
  const before = [...slotsByAddress]
    .filter(([address]) => address < server.address)
    .reduce((sum, [, slots]) => sum + slots, 0);
  return Array.from({ length: server.slots }, (_, slot) => before + slot).filter(
    (slot) => slot % ordered.length === index,
  ).length;
}
