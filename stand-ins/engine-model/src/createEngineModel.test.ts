import { describe, it } from 'node:test';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import { expect } from 'earl';
import createEngineModel from './createEngineModel';
import getHardware from './getHardware';
import type { EngineModelOptions, EngineRequest, StreamEnd } from './types';

interface ModelFixture {
  readonly engine: ReturnType<typeof createEngineModel>;
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly ends: Map<string, StreamEnd['kind']>;
  readonly firstTokens: Map<string, number>;
  submit(request: string, sizes?: Partial<EngineRequest>): string;
}

function startModel(options: Partial<EngineModelOptions> = {}): ModelFixture {
  const clock = createVirtualClock();
  const ends: ModelFixture['ends'] = new Map();
  const firstTokens: ModelFixture['firstTokens'] = new Map();
  const engine = createEngineModel({
    id: 'engine',
    clock,
    random: createRandom(3),
    hardware: getHardware('third'),
    ...options,
  });
  return {
    engine,
    clock,
    ends,
    firstTokens,
    submit(request, sizes) {
      const outcome = engine.submit({
        request,
        promptTokens: 512,
        outputTokens: 100,
        prefixHashes: [],
        listener: {
          onTokens: (tokens) => tokens === 1 && firstTokens.set(request, clock.now()),
          onEnd: (end) => ends.set(request, end.kind),
        },
        ...sizes,
      });
      return outcome.kind === 'ok' ? 'taken' : outcome.error.kind;
    },
  };
}

function getAuditOf({ engine }: ModelFixture, request: string) {
  return engine.getAudits().find((audit) => audit.request === request)!;
}

describe(createEngineModel.name, () => {
  it('takes the time that its iterations cost', () => {
    const fixture = startModel({
      hardware: { ...getHardware('third'), contextMillisecondsPerToken: 0 },
    });
    fixture.submit('a');
    fixture.clock.advance(60_000);
    const oneChunk = 14 + 512 * 0.06;
    expect(fixture.firstTokens.get('a')?.toFixed(6)).toEqual(oneChunk.toFixed(6));
    expect(fixture.ends.get('a')).toEqual('completed');
    expect(getAuditOf(fixture, 'a').prefilledTokens).toEqual(512);
    expect(getAuditOf(fixture, 'a').wastedPrefillTokens).toEqual(0);
  });

  it('refuses a duplicate request id, a request larger than its memory, and injected failures', () => {
    const fixture = startModel();
    expect(fixture.submit('a')).toEqual('taken');
    expect(fixture.submit('a')).toEqual('requestSeenBefore');
    expect(fixture.submit('b', { promptTokens: 1_000_000 })).toEqual('memoryTooSmall');
    fixture.engine.failNextRequests(1);
    expect(fixture.submit('c')).toEqual('injectedFailure');
  });

  it('evicts the stream admitted last when memory is full and prefills it again', () => {
    const fixture = startModel({ hardware: { ...getHardware('third'), memoryTokens: 1_200 } });
    fixture.submit('a', { promptTokens: 500, outputTokens: 400 });
    fixture.submit('b', { promptTokens: 500, outputTokens: 400 });
    fixture.clock.advance(120_000);
    expect([...fixture.ends.values()]).toEqual(['completed', 'completed']);
    expect(getAuditOf(fixture, 'a').evictions).toEqual(0);
    expect(getAuditOf(fixture, 'b').evictions).toBeGreaterThan(0);
    expect(getAuditOf(fixture, 'b').wastedPrefillTokens).toBeGreaterThan(0);
  });

  it('prefills only the blocks that are not cached', () => {
    const fixture = startModel();
    const prefixHashes = ['p:0', 'p:1', 'p:2', 'p:3'];
    fixture.submit('a', { prefixHashes });
    fixture.clock.advance(10_000);
    fixture.submit('b', { prefixHashes });
    fixture.clock.advance(10_000);
    expect(getAuditOf(fixture, 'b').prefilledTokens).toEqual(512 - 4 * 64);
    fixture.engine.resetToCold();
    fixture.submit('c', { prefixHashes });
    fixture.clock.advance(100_000);
    expect(getAuditOf(fixture, 'c').prefilledTokens).toEqual(512);
  });

  const cold = [
    { name: 'completes a few streams when cold', streams: 2, ends: 'completed' },
    { name: 'crashes when cold and overloaded', streams: 40, ends: 'failed' },
  ] as const;
  for (const { name, streams, ends } of cold) {
    it(name, () => {
      const fixture = startModel({ cold: true });
      const before = fixture.engine.getLoad().incarnation;
      for (let index = 0; index < streams; index += 1) {
        fixture.submit(`r${index}`);
      }
      fixture.clock.advance(120_000);
      expect(fixture.ends.get('r0')).toEqual(ends);
      expect(fixture.engine.getLoad().incarnation === before).toEqual(ends === 'completed');
    });
  }

  it('counts the prefill of a cancelled stream as wasted', () => {
    const fixture = startModel();
    fixture.submit('a');
    fixture.clock.advance(1_000);
    fixture.engine.cancel('a');
    expect(fixture.ends.get('a')).toEqual('cancelled');
    expect(getAuditOf(fixture, 'a').wastedPrefillTokens).toEqual(512);
    fixture.clock.advance(10_000);
    expect(fixture.engine.getLoad().running).toEqual(0);
    expect(fixture.engine.getLoad().memoryTokensUsed).toEqual(0);
  });

  it('reports its load with the configured lag', () => {
    const fixture = startModel({ reportLag: 1_000 });
    fixture.clock.advance(5_000);
    fixture.submit('a', { outputTokens: 1_000 });
    fixture.clock.advance(500);
    expect(fixture.engine.getLoad().running).toEqual(0);
    fixture.clock.advance(600);
    expect(fixture.engine.getLoad().running).toEqual(1);
  });
});
