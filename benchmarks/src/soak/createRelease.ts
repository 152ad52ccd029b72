import type { EntryHostIncarnation, Grant, GrantReleased } from '@rattanreel/scheduling';

/** The release of a grant that was not used, or with what was `measured` when it was. */
export default function createRelease(
  from: EntryHostIncarnation,
  grant: Grant,
  measured: Partial<GrantReleased> = {},
): GrantReleased {
  return {
    kind: 'grantReleased',
    request: grant.request,
    from,
    backendServer: grant.backendServer,
    echo: grant.echo,
    outcome: 'notDispatched',
    cachedTokens: 0,
    outputTokens: 0,
    firstTokenAfter: undefined,
    duration: 0,
    ...measured,
  };
}
