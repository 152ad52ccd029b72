import type { EntryHostIncarnation, Grant, GrantReleased } from '@rattanreel/scheduling';

/** Creates the release of a grant; without `measured`, that of a grant that was not used. */
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
