import type { Clock } from '@rattanreel/core';
import type { TokenStream } from './types';

const ENDED_STREAM_RETENTION_MILLISECONDS = 60_000;

type OpenedStream = Pick<TokenStream, 'request' | 'model' | 'promptTokens' | 'prefixHashes'>;

/** The running token streams of an engine and those that ended recently. */
interface TokenStreams {
  open(opened: OpenedStream): TokenStream;
  tryGet(request: string): TokenStream | undefined;
  /** Ends the stream, notifies its subscribers and removes it a minute later. */
  end(stream: TokenStream, end: 'completed' | 'failed' | 'cancelled'): void;
  /** Notifies the subscribers that the stream has changed. */
  notify(stream: TokenStream): void;
  closeAll(): void;
}

/** Creates an empty set of token streams. */
export default function createTokenStreams(clock: Clock): TokenStreams {
  const streams = new Map<string, TokenStream>();
  const timers = new Set<{ cancel(): void }>();

  function notify(stream: TokenStream): void {
    [...stream.subscribers].forEach((subscriber) => subscriber());
  }

  return {
    open(opened) {
      const stream: TokenStream = {
        ...opened,
        tokens: 0,
        cachedTokens: 0,
        end: undefined,
        disconnectAfterTokens: undefined,
        subscribers: new Set(),
      };
      streams.set(opened.request, stream);
      return stream;
    },
    tryGet: (request) => streams.get(request),
    end(stream, end) {
      stream.end = end;
      notify(stream);
      const timer = clock.after(ENDED_STREAM_RETENTION_MILLISECONDS, () => {
        streams.delete(stream.request);
        timers.delete(timer);
      });
      timers.add(timer);
    },
    notify,
    closeAll() {
      timers.forEach((timer) => timer.cancel());
      timers.clear();
    },
  };
}
