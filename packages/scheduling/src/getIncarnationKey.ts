import type { EntryHostIncarnation } from './types';

/** Returns a map key for one incarnation of an entry host. */
export default function getIncarnationKey(member: EntryHostIncarnation): string {
  return `${member.entryHost}/${member.incarnation}`;
}
