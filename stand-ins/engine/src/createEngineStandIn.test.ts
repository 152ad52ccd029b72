import { describe, it } from 'node:test';
import { expect } from 'earl';
import createEngineStandIn from './createEngineStandIn';

interface ParsedResponse {
  readonly status: number;
  readonly events: readonly string[];
}

async function readResponse(response: Response): Promise<ParsedResponse> {
  const text = await response.text().catch(() => '');
  return { status: response.status, events: text.split('\n\n').filter(Boolean) };
}

async function requestCompletion(
  address: string,
  request: string,
  tokens = 3,
): Promise<ParsedResponse> {
  const response = await fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-request-id': request },
    body: JSON.stringify({
      model: 'drafts',
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: 'quilt the long edge first' }],
    }),
  });
  return readResponse(response);
}

describe(createEngineStandIn.name, () => {
  it('streams every token, the usage and the final event, and refuses a duplicate id', async () => {
    const engine = await createEngineStandIn({ id: 'engine-1' });
    const first = await requestCompletion(engine.address, 'request-1');
    expect(first.status).toEqual(200);
    expect(first.events.length).toEqual(5);
    expect(first.events[3]!.includes('"prompt_tokens":5,"completion_tokens":3')).toEqual(true);
    expect(first.events[4]).toEqual('data: [DONE]');
    expect((await requestCompletion(engine.address, 'request-1')).status).toEqual(409);
    const resumed = await readResponse(
      await fetch(`${engine.address}/v1/streams/request-1?after=2`),
    );
    expect(resumed.events.length).toEqual(3);
    expect(engine.getAudits().map(({ dispatches, state }) => ({ dispatches, state }))).toEqual([
      { dispatches: 2, state: 'completed' },
    ]);
    await engine.close();
  });

  it('resumes a stream whose connection was closed', async () => {
    const engine = await createEngineStandIn({ id: 'engine-1' });
    engine.disconnectStreamAfter(1);
    await requestCompletion(engine.address, 'request-2');
    const resumed = await readResponse(
      await fetch(`${engine.address}/v1/streams/request-2?after=1`),
    );
    expect(resumed.events.at(-1)).toEqual('data: [DONE]');
    expect(resumed.events.length).toEqual(4);
    await engine.close();
  });

  const fencing = [
    { checksFencing: true, statuses: [202, 409, 202] },
    { checksFencing: false, statuses: [202, 202, 202] },
  ];
  for (const { checksFencing, statuses } of fencing) {
    it(`accepts orders, ${checksFencing ? 'checking' : 'ignoring'} their fencing token`, async () => {
      const engine = await createEngineStandIn({ id: 'engine-1', checksFencing });
      const receivedStatuses: number[] = [];
      for (const fence of [5, 4, 5]) {
        const order = { order: 'setRole', role: 'decode', fence };
        const response = await fetch(`${engine.address}/orders`, {
          method: 'POST',
          body: JSON.stringify(order),
        });
        receivedStatuses.push(response.status);
      }
      expect(receivedStatuses).toEqual(statuses);
      await engine.close();
    });
  }
});
