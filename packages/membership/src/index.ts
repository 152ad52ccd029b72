/** Failure detection within a failure domain, delegates, and summaries between failure domains. */
export type {
  AgedPoolCapacity,
  DomainMember,
  DomainView,
  GenerationCount,
  IncarnationChanged,
  ConfiguredEntryHost,
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
  PoolCapacity,
  Replaced,
  SendToPeer,
} from './types';
export { default as chooseOwner } from './chooseOwner';
export { default as createIncarnation } from './createIncarnation';
export { default as chooseOwners } from './chooseOwners';
export { default as createMembership } from './createMembership';
