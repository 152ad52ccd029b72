import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CrashGuard } from '../crashes/types';
import type { ServerConnections } from '../servers/types';
import type { ListedServer, TraitId, AttemptFigures } from '../types';

/** A request that has received data for this long is not the one under which its server ended. */
const BEGINNING: Milliseconds = 250;
/**
 * Times after a connection failed at which its server is checked. The first check may find a
 * process that is just ending.
 */
const CHECK_TIMES: readonly Milliseconds[] = [60, 500];
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

interface CrashEvidenceOptions {
  readonly clock: Clock;
  readonly crashGuard: CrashGuard;
  readonly connections: Pick<ServerConnections, 'checkListening'>;
  readonly server: ListedServer;
  readonly traits: readonly TraitId[];
  readonly figures: AttemptFigures;
}

function isAnswered({ end }: AttemptFigures): boolean {
  return end.kind === 'whole' && end.status >= HTTP_OK && end.status < HTTP_MULTIPLE_CHOICES;
}

/** Returns whether the connection failed before the response was well under way. */
function isBrokenAtBeginning({
  end,
  duration,
  firstDataAfter = duration,
}: AttemptFigures): boolean {
  return end.kind === 'broken' && duration - firstDataAfter <= BEGINNING;
}

/** Records what the end of an attempt says about the traits of its request. */
export default function recordCrashEvidence(options: CrashEvidenceOptions): void {
  const { clock, crashGuard, connections, server, traits, figures } = options;
  if (isAnswered(figures)) {
    crashGuard.recordAnswered(traits);
    return;
  }
  // The end of a server that leaves as announced has no cause in a request.
  if (!isBrokenAtBeginning(figures) || server.isDraining) {
    return;
  }
  crashGuard.recordBroken(server, traits);
  CHECK_TIMES.forEach((time) =>
    clock.after(time, () =>
      connections.checkListening(server, (listening) => {
        if (listening === 'refused') {
          crashGuard.recordEnded(server);
        }
      }),
    ),
  );
}
