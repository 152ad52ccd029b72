import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import explainFromLogs from './explainFromLogs';

describe('explainFromLogs', () => {
  it('returns only the lines about one request, in order of time over two logs', async () => {
    const folder = await mkdtemp(path.join(tmpdir(), 'logs-'));
    const [firstLog, secondLog] = [path.join(folder, 'one.log'), path.join(folder, 'two.log')];
    await writeFile(
      firstLog,
      [
        '{"level":30,"time":"2026-01-01T00:00:02Z","host":"a","request":"r1","reason":"expectedLate","msg":"request refused"}',
        '{"level":30,"time":"2026-01-01T00:00:03Z","host":"a","request":"r2","msg":"request refused"}',
        'no log line with r1 in it',
        '{"level":30,"time":"cut off',
      ].join('\n'),
    );
    await writeFile(
      secondLog,
      ' 3.1 b {"level":40,"time":"2026-01-01T00:00:01Z","host":"b","request":"r1","code":"serverBroke","msg":"request failed"}',
    );
    expect(await explainFromLogs('r1', [firstLog, secondLog])).toEqual([
      '2026-01-01T00:00:01Z b request failed {"code":"serverBroke"}',
      '2026-01-01T00:00:02Z a request refused {"reason":"expectedLate"}',
    ]);
  });
});
