import { Command, Option } from 'clipanion';
import { isAtLeast, isNumber, cascade } from 'typanion';
import { ExitCode } from '../ExitCode.js';
import { getIncidentSummary } from '../incident/IncidentSummary.js';
import type { StateChange, IncidentSummary, Share, Symptom } from '../incident/IncidentSummary.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTable } from '../text/formatTable.js';
import { readLogLines } from '../trace/readLogLines.js';

const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;

const isSeconds = cascade(isNumber(), [isAtLeast(0)]);

function formatSeconds(duration: number): string {
  return `${(duration / MILLISECONDS_PER_SECOND).toFixed(1)} s`;
}

function formatShare({ field, value, part }: Share): string {
  return `${field} ${value} (${Math.round(part * PERCENT)}%)`;
}

function formatSymptom(symptom: Symptom): string[] {
  return [
    formatSeconds(symptom.from),
    formatSeconds(symptom.until),
    symptom.measure,
    String(symptom.count),
    `${symptom.usualPerSecond} -> ${symptom.worstPerSecond}`,
    symptom.mostly.map(formatShare).join(', '),
  ];
}

function formatStateChange(change: StateChange): string[] {
  return [
    formatSeconds(change.first),
    formatSeconds(change.last),
    `${change.event} ${change.subject}`.trim(),
    String(change.times),
    String(change.daemons),
  ];
}

function formatSummary({ start, end, daemons, requests, ...rest }: IncidentSummary): string[] {
  const from = new Date(start).toISOString();
  const head = `${formatSeconds(end - start)} from ${from}: ${requests} requests, ${daemons} daemons`;
  if (rest.symptoms.length === 0) {
    return [head, 'nothing became worse'];
  }
  const symptoms = [
    ['from', 'until', 'what became worse', 'lines', 'a second', 'mostly'],
    ...rest.symptoms.map(formatSymptom),
  ];
  const changes = [
    ['first', 'last', 'state change', 'times', 'daemons'],
    ...rest.changes.map(formatStateChange),
  ];
  return [head, '', ...formatTable(symptoms), '', ...formatTable(changes)];
}

/** `apricotrill incident` */
export class IncidentCommand extends OperatorCommand {
  static override paths = [['incident']];

  static override usage = Command.Usage({
    category: 'Watch',
    description:
      'summarize what became worse, when, whom it affected, and the state changes of the daemons',
    details: `
      Reads log lines of several daemons from files or standard input. A second counts as bad if an
      indicator occurs at least three times in it, and at least three times as often as in the
      median second of the same logs. The state changes of the daemons are listed from five seconds
      before the first bad second.

      Exit status: 0 read, 2 a file cannot be read, 7 no line of a daemon.
    `,
    examples: [
      ['From files', '$0 incident edge-1.log edge-2.log'],
      ['Part of a log', '$0 incident --from 20 --until 40 edge-1.log'],
    ],
  });

  from = Option.String('--from', '0', {
    description: 'Start, in seconds after the first line; 0 by default.',
    validator: isSeconds,
  });

  until = Option.String('--until', {
    description: 'End, in seconds after the first line; the last line by default.',
    validator: isSeconds,
  });

  files = Option.Rest();

  protected async run(): Promise<Report> {
    const lines = await readLogLines(this.files, this.context.stdin);
    const start = lines.reduce((least, { time }) => Math.min(least, time), Number.MAX_VALUE);
    const isWithin = this.getTimeFilter(start);
    const summary = getIncidentSummary(lines.filter(({ time }) => isWithin(time)));
    if (summary === undefined) {
      const missing = ['no line of a daemon in that time'];
      return { exitCode: ExitCode.Impossible, lines: missing, value: {} };
    }
    return { exitCode: ExitCode.Done, lines: formatSummary(summary), value: summary };
  }

  private getTimeFilter(start: number): (time: number) => boolean {
    const from = start + this.from * MILLISECONDS_PER_SECOND;
    const until =
      this.until === undefined
        ? Number.POSITIVE_INFINITY
        : start + this.until * MILLISECONDS_PER_SECOND;
    return (time) => time >= from && time <= until;
  }
}
