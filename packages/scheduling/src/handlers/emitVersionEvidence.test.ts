import { describe, it } from 'node:test';
import { expect } from 'earl';
import createPoolScheduler from '../createPoolScheduler';
import type { Grant, SchedulerEffect, SchedulerMessage, VersionEvidence } from '../types';
import emitVersionEvidence from './emitVersionEvidence';

const HOST = { entryHost: 'one-1', incarnation: 'one-1-a' };
const REQUESTS_TO_LEARN = 12;
const OUTPUT_TOKENS = 21;

/**
 * Runs requests one after another at one backend server; with a limit of one stream it is never in
 * slow start.
 */
function createDriver(maximumStreams = 1) {
  const scheduler = createPoolScheduler({
    pool: 'assistant',
    failureDomain: 'one',
    needsHandover: false,
    startedAt: 0,
    seed: 1,
  });
  let now = 0;
  let request = 0;

  function handle(message: SchedulerMessage): readonly SchedulerEffect[] {
    return scheduler.handle(message, now);
  }

  function report(version: string): void {
    handle({
      kind: 'loadReported',
      backendServer: 'engine',
      backendServerIncarnation: 'engine-a',
      reportAge: 0,
      runningRequests: 0,
      waitingRequests: 0,
      memoryTokensUsed: 0,
      memoryTokensTotal: 100_000,
      version,
      ready: true,
      leaving: false,
    });
  }

  function run(tokenTime: number): VersionEvidence | undefined {
    request += 1;
    now += 1_000;
    const name = `request-${request}`;
    const effects = handle({
      kind: 'grantRequested',
      request: name,
      from: HOST,
      homeDomain: 'one',
      tier: 0,
      customer: 'only',
      customerWeight: 1,
      route: 'chat',
      promptTokens: 100,
      maximumOutputTokens: OUTPUT_TOKENS,
      prefixHashes: [],
      age: 0,
      firstTokenDue: 60_000,
      due: 120_000,
      stamp: now,
    });
    const grant = effects.find((effect): effect is Grant => effect.kind === 'grant');
    const firstTokenAfter = tokenTime * 5;
    now += firstTokenAfter;
    handle({ kind: 'firstTokenSeen', request: name, from: HOST, firstTokenAfter, cachedTokens: 0 });
    const decoding = tokenTime * (OUTPUT_TOKENS - 1);
    now += decoding;
    return handle({
      kind: 'grantReleased',
      request: name,
      from: HOST,
      backendServer: grant?.backendServer ?? '',
      outcome: 'completed',
      cachedTokens: 0,
      outputTokens: OUTPUT_TOKENS,
      firstTokenAfter,
      duration: firstTokenAfter + decoding,
    }).find((effect): effect is VersionEvidence => effect.kind === 'versionEvidence');
  }

  handle({
    kind: 'poolChanged',
    backendServers: [
      {
        id: 'engine',
        hardware: 'any',
        version: 'v1',
        memoryTokens: 100_000,
        maximumStreams,
        drained: false,
      },
    ],
    shares: [
      { version: 'v1', share: 0.5 },
      { version: 'v2', share: 0.5 },
    ],
    tiers: 1,
    domainDrained: false,
    remotePools: [],
  });
  report('v1');
  return { run, report };
}

describe(emitVersionEvidence.name, () => {
  const cases = [
    { name: 'slow hardware, version as fast as before', tokenTime: 60, after: 60, ratio: 1 },
    { name: 'fast hardware, version as fast as before', tokenTime: 10, after: 10, ratio: 1 },
    { name: 'fast hardware, version half as fast', tokenTime: 10, after: 20, ratio: 2 },
  ];
  for (const { name, tokenTime, after, ratio } of cases) {
    it(`normalises the times of a new version by the speed of its hardware: ${name}`, () => {
      const { run, report } = createDriver();
      let last: VersionEvidence | undefined;
      for (let index = 0; index < REQUESTS_TO_LEARN; index += 1) {
        last = run(tokenTime);
      }
      const before = last?.betweenTokens ?? Number.NaN;
      report('v2');
      const evidence = run(after);
      expect(evidence?.version).toEqual('v2');
      expect(Math.round(((evidence?.betweenTokens ?? Number.NaN) / before) * 10) / 10).toEqual(
        ratio,
      );
    });
  }

  it('reports no times of a version while its backend server is cold', () => {
    const { run, report } = createDriver(4);
    for (let index = 0; index < REQUESTS_TO_LEARN; index += 1) {
      run(10);
    }
    report('v2');
    const evidence = run(10);
    expect(evidence?.version).toEqual('v2');
    expect(evidence?.betweenTokens).toEqual(undefined);
  });

  it('reports no times of a version that was deployed before its hardware speed was known', () => {
    const { run, report } = createDriver();
    report('v2');
    const evidence = run(30);
    expect(evidence?.failed).toEqual(false);
    expect(evidence?.betweenTokens).toEqual(undefined);
  });
});
