import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createRunCli } from '../../test/runCli.js';
import { ExitCode } from '../ExitCode.js';
import type { LogLine } from '../trace/RequestTrace.js';
import { getIncidentSummary } from './IncidentSummary.js';

function line(time: number, event: string, fields: object, daemon = 'edge-1'): LogLine {
  return { daemon, time, event, fields: { ...fields } };
}

/** Ten seconds of logs with a replica that breaks all its requests in seconds 5 to 7. */
function getLines(): LogLine[] {
  const lines: LogLine[] = [];
  for (let second = 0; second < 10; second += 1) {
    const isBad = second >= 5 && second < 8;
    for (let index = 0; index < 10; index += 1) {
      const time = 1_000_000 + second * 1_000 + index * 50;
      const id = `r-${second}-${index}`;
      const replica = isBad && index < 6 ? 'i-bad' : 'i-good';
      lines.push(line(time, 'admitted', { id, route: index % 2 === 0 ? 'chat' : 'pay' }));
      lines.push(line(time + 1, 'sent', { id, replica, attempt: 1 }));
      const isBroken = replica === 'i-bad';
      const end = isBroken ? 'broken' : 'completed';
      lines.push(line(time + 40, 'attempt-ended', { id, replica, end }));
      lines.push(
        isBroken
          ? line(time + 41, 'given-up', { id, reason: 'may-have-run', status: 502 })
          : line(time + 41, 'answered', { id, replica, firstByte: 30 }),
      );
    }
  }
  lines.push(line(1_004_900, 'replica-suspect', { replica: 'i-bad' }, 'edge-2'));
  lines.push(line(1_005_400, 'replica-suspect', { replica: 'i-bad' }));
  lines.push(line(1_000_010, 'configuration', { version: 3 }));
  return lines;
}

describe('getIncidentSummary', () => {
  it('reports which indicators rose, when, and whom it affected', () => {
    const summary = getIncidentSummary(getLines())!;
    expect(summary).toMatchObject({ daemons: 2, requests: 100 });
    expect(summary.symptoms.map(({ measure }) => measure)).toEqual([
      'requests given up',
      'attempts that failed',
    ]);
    expect(summary.symptoms[0]).toMatchObject({
      from: 5_000,
      until: 8_000,
      count: 18,
      usualPerSecond: 0,
      worstPerSecond: 6,
    });
    expect(summary.symptoms[0]!.mostly).toContainEqual({
      field: 'replica',
      value: 'i-bad',
      part: 1,
    });
  });

  it('lists the state changes around the symptoms', () => {
    const { changes } = getIncidentSummary(getLines())!;
    expect(changes).toEqual([
      { event: 'configuration', subject: '3', first: 10, last: 10, times: 1, daemons: 1 },
      {
        event: 'replica-suspect',
        subject: 'i-bad',
        first: 4_900,
        last: 5_400,
        times: 2,
        daemons: 2,
      },
    ]);
  });

  it('finds no symptom in logs without trouble, and returns no summary without logs', () => {
    const calm = getLines().filter(({ time }) => time < 1_004_000);
    expect(getIncidentSummary(calm)!.symptoms).toEqual([]);
    expect(getIncidentSummary([])).toBeUndefined();
  });
});

describe('apricotrill incident', () => {
  async function writeLog(): Promise<string> {
    const file = join(await mkdtemp(join(tmpdir(), 'apricotrill-')), 'edge-1.log');
    const texts = getLines().map(
      ({ time, event, fields, daemon }) =>
        `${daemon} ${JSON.stringify({ time, event, ...fields })}`,
    );
    await writeFile(file, texts.join('\n'));
    return file;
  }

  it('prints the summary of all the logs or of a part', async () => {
    const { run } = createRunCli();
    const file = await writeLog();
    const all = await run('incident', file);
    expect(all.exitCode).toBe(ExitCode.Done);
    expect(all.output).toMatch(/5\.0 s +8\.0 s +requests given up +18 +0 -> 6/);
    expect(all.output).toMatch(/replica-suspect i-bad +2 +2/);
    const early = await run('incident', '--until', '3', file);
    expect(early.output).toContain('nothing became worse');
  });

  it('rejects a time that is not a number, and reports a time without any line', async () => {
    const { run } = createRunCli();
    const file = await writeLog();
    expect((await run('incident', '--from', 'noon', file)).exitCode).toBe(ExitCode.Usage);
    expect((await run('incident', '--from', '900', file)).exitCode).toBe(ExitCode.Impossible);
  });
});
