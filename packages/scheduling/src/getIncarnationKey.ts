import type { EntryHostIncarnation } from './types';

/** One string for an entry host's run, for use as a key. */
export default function getIncarnationKey(member: EntryHostIncarnation): string {
  return `${member.entryHost}/${member.incarnation}`;
}
