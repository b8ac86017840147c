import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createRunCli } from '../../test/runCli.js';
import { ExitCode } from '../ExitCode.js';

function line(time: number, event: string, fields: object): string {
  return JSON.stringify({ level: 'info', time, event, ...fields });
}

/** The logs of two daemons: a request that was sent to a replica which then failed. */
const FIRST = [
  line(1_000, 'admitted', { id: 'r-1', route: 'chat', priority: 0 }),
  line(1_001, 'sent', { id: 'r-1', attempt: 1, replica: 'i-1', choice: { cost: 12.5 } }),
  line(1_002, 'sent', { id: 'r-2', attempt: 1, replica: 'i-2' }),
  line(1_400, 'attempt-ended', { id: 'r-1', attempt: 1, replica: 'i-1', end: 'broken' }),
  line(1_401, 'replica-suspect', { replica: 'i-1', reason: 'attempts break in a row' }),
  line(1_402, 'replica-suspect', { replica: 'i-9', reason: 'unrelated' }),
  line(1_403, 'given-up', { id: 'r-1', outcome: 'unknown', status: 502 }),
];

const SECOND = [
  'not a log line of a daemon',
  `  0.5000 edge-2 ${line(2_000, 'admitted', { id: 'r-1', route: 'chat' })}`,
  `  0.5001 edge-2 ${line(2_300, 'answered', { id: 'r-1', status: 200, attempts: 1 })}`,
];

describe('apricotrill trace', () => {
  async function writeLogs(): Promise<string[]> {
    const folder = await mkdtemp(join(tmpdir(), 'apricotrill-'));
    const files = [join(folder, 'edge-1.log'), join(folder, 'edge-2.log')];
    await writeFile(files[0]!, FIRST.join('\n'));
    await writeFile(files[1]!, SECOND.join('\n'));
    return files;
  }

  it('lists the events of one request across daemons, with those of its replicas', async () => {
    const { run } = createRunCli();
    const { exitCode, output } = await run('trace', 'r-1', ...(await writeLogs()), '--json');
    expect(exitCode).toBe(ExitCode.Done);
    const { story } = JSON.parse(output) as { story: { event: string; after: number }[] };
    expect(story.map(({ event, after }) => [event, after])).toEqual([
      ['admitted', 0],
      ['sent', 1],
      ['attempt-ended', 400],
      ['replica-suspect', 401],
      ['given-up', 403],
      ['admitted', 1_000],
      ['answered', 1_300],
    ]);
  });

  it('prints a table, and reports a request without any line', async () => {
    const { run } = createRunCli();
    const files = await writeLogs();
    const found = await run('trace', 'r-1', ...files);
    expect(found.output).toMatch(/400 ms +.*edge-1.*attempt-ended +.*end=broken/);
    const missing = await run('trace', 'r-7', ...files);
    expect(missing).toMatchObject({ exitCode: ExitCode.Impossible });
  });

  it('refuses a file that cannot be read', async () => {
    const { run } = createRunCli();
    const { exitCode } = await run('trace', 'r-1', '/nowhere/edge.log');
    expect(exitCode).toBe(ExitCode.Refused);
  });
});
