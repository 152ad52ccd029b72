import type { SlotGrant } from '../admission/types';
import type { ResponseRelay } from '../front/types';
import type { Attempt } from '../servers/types';
import type { AttemptFigures } from '../types';
import returnSlot from '../front/returnSlot';
import createResponseGate from './createResponseGate';
import type { AttemptRace, CopyEnd, FinalCopy, StartCopy } from './types';

interface AttemptRaceOptions {
  readonly response: ResponseRelay;
  readonly isStream: boolean;
  readonly startCopy: StartCopy;
  readonly onData: () => void;
  /** Called for each copy that ends, with whether another one goes on or has won. */
  readonly onCopyEnd: (copy: CopyEnd, isSuperseded: boolean) => void;
  /** Called once for all copies that were in flight together, when the last one has ended. */
  readonly onEnd: (copy: FinalCopy) => void;
}

interface Copy {
  readonly grant: SlotGrant;
  attempt: Attempt | undefined;
  /** Whether another copy has won. */
  isLost: boolean;
}

const HTTP_SERVER_ERROR = 500;

function isSuccessful({ end }: AttemptFigures): boolean {
  return end.kind === 'whole' && end.status < HTTP_SERVER_ERROR;
}

/**
 * Runs the copies of one request, of which there are two at most. The first complete response wins,
 * in a stream the first event; the other copy is cancelled at its server at once. The failure of
 * one copy is not the end while the other is in flight. A complete response that reports a failure
 * is kept until then, and passed on if the other copy has nothing better.
 */
export default function createAttemptRace(options: AttemptRaceOptions): AttemptRace {
  const running = new Set<Copy>();
  let winner: Copy | undefined;
  let completeFailure: FinalCopy | undefined;
  let hasReceivedData = false;

  function win(copy: Copy): void {
    winner = copy;
    const others = [...running].filter((other) => other !== copy);
    others.forEach((other) => {
      other.isLost = true;
      running.delete(other);
      other.attempt?.abort('superseded');
    });
  }

  function handleEnd(copy: Copy, final: FinalCopy): void {
    running.delete(copy);
    if (winner === undefined && !copy.isLost && isSuccessful(final.figures)) {
      win(copy);
    }
    const isFinal = !copy.isLost && (winner === copy || running.size === 0);
    returnSlot(copy.grant, final.figures);
    options.onCopyEnd(final, !isFinal);
    if (copy.isLost) {
      return;
    }
    const isComplete = final.figures.end.kind === 'whole';
    if (isFinal) {
      options.onEnd(isComplete ? final : (completeFailure ?? final));
    } else if (isComplete) {
      completeFailure = final;
    }
  }

  return {
    start(grant) {
      const copy: Copy = { grant, attempt: undefined, isLost: false };
      if (running.size === 0) {
        winner = undefined;
        completeFailure = undefined;
        hasReceivedData = false;
      }
      running.add(copy);
      const gate = createResponseGate({ ...options, onWin: () => win(copy) });
      copy.attempt = options.startCopy({
        grant,
        response: gate,
        onData() {
          hasReceivedData = true;
          options.onData();
        },
        onEnd: (figures) => handleEnd(copy, { server: grant.server.id, figures, open: gate.open }),
      });
    },
    abort: (reason) => [...running].forEach(({ attempt }) => attempt?.abort(reason)),
    resume: () => running.forEach(({ attempt }) => attempt?.resume()),
    isRunning: () => running.size > 0,
    hasData: () => hasReceivedData,
  };
}
