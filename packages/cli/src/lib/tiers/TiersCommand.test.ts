import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createRunCli } from '../../test/runCli.js';
import { ExitCode } from '../ExitCode.js';

const LINES = [
  { time: 0, event: 'admitted', id: 'r', service: 'llm', routePriority: 0, rank: 3 },
  { time: 1, event: 'sent', id: 'r', replica: 'i-1' },
  { time: 900, event: 'given-up', id: 'r' },
];

async function writeLog(lines: readonly object[]): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), 'apricotrill-')), 'edge-1.log');
  await writeFile(file, lines.map((line) => JSON.stringify(line)).join('\n'));
  return file;
}

describe('apricotrill tiers', () => {
  it('prints a row for each window and priority', async () => {
    const { run } = createRunCli();
    const { exitCode, output } = await run('tiers', await writeLog(LINES));
    expect(exitCode).toBe(ExitCode.Done);
    expect(output).toMatch(/^service +from +route priority/);
    expect(output).toMatch(/llm +0 s +0 +- +1 +0 +1 +0 +0 +0/);
  });

  it('reports logs without a finished request', async () => {
    const { run } = createRunCli();
    const { exitCode } = await run('tiers', await writeLog(LINES.slice(0, 2)));
    expect(exitCode).toBe(ExitCode.Impossible);
  });

  it('refuses a window without length', async () => {
    const { run } = createRunCli();
    const { exitCode } = await run('tiers', '--window', '0', await writeLog(LINES));
    expect(exitCode).toBe(1);
  });
});
