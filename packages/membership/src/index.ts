/** Failure detection within a failure domain, delegates, and summaries between failure domains. */
export type {
  AgedPoolRoom,
  DomainMember,
  DomainView,
  GenerationCount,
  IncarnationChanged,
  KnownEntryHost,
  LaterGenerationSeen,
  MemberIncarnation,
  MemberView,
  Membership,
  MembershipEffect,
  MembershipMessage,
  MembershipOptions,
  MembershipPeerMessage,
  MembershipPolicy,
  MembershipView,
  MembersChanged,
  PoolRoom,
  Replaced,
  SendToPeer,
} from './types';
export { default as chooseOwner } from './chooseOwner';
export { default as createIncarnation } from './createIncarnation';
export { default as chooseOwners } from './chooseOwners';
export { default as createMembership } from './createMembership';
