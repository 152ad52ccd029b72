import type { Milliseconds, PoolId } from '@rattanreel/core';
import type { AttemptRequest, AttemptSink, ServerConnections } from '../servers/types';
import type { ListedServer } from '../types';
import createTestEngine from './createTestEngine';
import type createTestFleet from './createTestFleet';
import headerNames from './headerNames';
import createTestPaths from './createTestPaths';
import type { EngineCut, SeenCall, TestHost } from './types';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestEngine = ReturnType<typeof createTestEngine>;

const LINK_DELAY: Milliseconds = 1;

/** A request that reached an engine. */
interface Arrival {
  readonly at: Milliseconds;
  readonly host: TestHost;
  readonly server: string;
  readonly id: string;
  readonly call: SeenCall;
}

function getHeader({ headers }: AttemptRequest, wanted: string): string {
  const index = headers.findIndex((name, place) => place % 2 === 0 && name === wanted);
  return index < 0 ? '' : headers[index + 1]!;
}

function toSeenCall(request: AttemptRequest): SeenCall {
  const parts = getHeader(request, headerNames.promptParts).split(',');
  return {
    promptParts: parts.slice(0, -1).map((part) => part.split(':', 1)[0]!),
    target: request.target,
    body: request.body.toString(),
    customer: getHeader(request, headerNames.customer),
  };
}

interface TestEnginesOptions {
  /** Mean work of plain services, by pool; all other pools have model engines. */
  readonly serviceWork?: Readonly<Record<PoolId, Milliseconds>>;
  /** Called when a request reaches an engine, before the engine accepts it. */
  readonly onArrival?: (id: string) => void;
}

/** Runs the engines of a test fleet in virtual time, and connects hosts with them. */
export default function createTestEngines(fleet: TestFleet, options: TestEnginesOptions = {}) {
  const { clock, random } = fleet;
  /** The calls that crash engines, by a name of their own. */
  const crashing = new Map<string, (call: SeenCall) => boolean>();
  const arrivals: Arrival[] = [];
  const crashes: { readonly at: Milliseconds; readonly cause: string | undefined }[] = [];
  /** When engines fell over. */
  const falls: Milliseconds[] = [];
  /** Servers of the answers that failed or were slow. */
  const badAnswers: string[] = [];
  const expired = new Set<string>();
  /** Number of versions that were started beside the first one. */
  let generation = 0;

  function publish(): void {
    const listed = engines.map((engine) => engine.getListed());
    fleet.setServers(listed.filter(({ id }) => !expired.has(id)));
  }

  function createEngine(listed: ListedServer): TestEngine {
    return createTestEngine({
      clock,
      random,
      listed,
      serviceWork: options.serviceWork?.[listed.pool],
      tryGetCrashCause(request) {
        const call = toSeenCall(request);
        return [...crashing].find(([, isCrashing]) => isCrashing(call))?.[0];
      },
      onCrash: (cause) => crashes.push({ at: clock.now(), cause }),
      onFall: () => falls.push(clock.now()),
      onBadAnswer: (id) => badAnswers.push(id),
      onExpired(id) {
        expired.add(id);
        publish();
      },
      onStarted: publish,
    });
  }

  const engines = fleet.servers.map(createEngine);

  function getEngine({ address }: ListedServer): TestEngine {
    return engines.find((engine) => engine.getListed().address === address)!;
  }

  const paths = createTestPaths(clock);

  /** Delivers what an engine sends, once the event loop of the host is not blocked. */
  function deliverTo({ loop }: TestHost, sink: AttemptSink): AttemptSink {
    return {
      onHead: (head) => loop.run('arrival', () => sink.onHead(head)),
      onData(chunk) {
        loop.run('arrival', () => sink.onData(chunk));
        return true;
      },
      onEnd: (outcome) => loop.run('arrival', () => sink.onEnd(outcome)),
    };
  }

  /** Creates the connections of one host to the engines. */
  function connect(host: TestHost): ServerConnections {
    return {
      send(server, request, sink) {
        const engine = getEngine(server);
        const path = paths.open(host, server, sink);
        const run = { host, request, sink: deliverTo(host, path.sink), isEnded: false };
        clock.after(LINK_DELAY, () => {
          options.onArrival?.(server.id);
          if (path.isConnected() && !run.isEnded && engine.accept(run, server.id)) {
            const call = toSeenCall(request);
            arrivals.push({
              at: clock.now(),
              host,
              server: server.id,
              id: request.requestId,
              call,
            });
          }
        });
        return {
          abort(reason) {
            path.recordAborted();
            engine.cancel(run);
            if (!run.isEnded) {
              run.isEnded = true;
              path.sink.onEnd({ kind: 'aborted', reason });
            }
          },
          resume: () => undefined,
        };
      },
      checkListening(server, onChecked) {
        paths.check(host, server, (result) =>
          onChecked(result ?? (getEngine(server).isUp() ? 'accepting' : 'refused')),
        );
      },
      renew: (server) => paths.renew(host, server),
      retainServers: () => undefined,
      close: async () => undefined,
    };
  }

  fleet.setConnect(connect);
  return {
    engines,
    /** Starts an engine of another version beside each one. */
    startVersion(version: string): readonly TestEngine[] {
      const started = engines.map((engine, index) => {
        const listed = engine.getListed();
        const id = `${version}-${listed.id}`;
        const address = `10.2.${generation}.${index}:1`;
        return createEngine({ ...listed, id, address, version, startedAt: clock.now() });
      });
      generation += 1;
      engines.push(...started);
      publish();
      return started;
    },
    crashing,
    arrivals,
    badAnswers,
    crashes,
    falls,
    /** Ends an engine for a reason that no request has. */
    crashAtRandom(): void {
      const up = engines.filter((engine) => engine.isUp());
      if (up.length > 0) {
        up[random.integer(0, up.length - 1)]!.crash(undefined);
      }
    },
    resetConnections: () => engines.forEach((engine) => engine.resetConnections()),
    partition: paths.partition,
    /** Cuts hosts off from all engines; undefined ends that. */
    cut: (hosts: readonly TestHost[], how: EngineCut | undefined) => paths.cut(hosts, how),
  };
}
