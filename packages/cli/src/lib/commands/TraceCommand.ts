import { Command, Option } from 'clipanion';
import { ExitCode } from '../ExitCode.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTable } from '../text/formatTable.js';
import { readLogLines } from '../trace/readLogLines.js';
import { getRequestTrace } from '../trace/RequestTrace.js';

/** `apricotrill trace` */
export class TraceCommand extends OperatorCommand {
  static override paths = [['trace']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'show the events of one request from the logs of the daemons',
    details: `
      Reads log lines of one or several daemons from files or standard input, and prints the events
      of a request in order: the time, the daemon, the event and its fields. The last word before
      the JSON of a line is taken as the daemon's name; lines without JSON are skipped. Events of
      the replicas that the request was sent to are included.

      Exit status: 0 found, 2 a file cannot be read, 7 no line of the request.
    `,
    examples: [
      ['From files', '$0 trace 9c41d07be2a35f68 edge-1.log edge-2.log'],
      ['From standard input', 'cat *.log | $0 trace 9c41d07be2a35f68'],
    ],
  });

  id = Option.String({ required: true });

  files = Option.Rest();

  protected async run(): Promise<Report> {
    const trace = getRequestTrace(await readLogLines(this.files, this.context.stdin), this.id);
    if (trace.length === 0) {
      const lines = [`no line of request ${this.id}`];
      return { exitCode: ExitCode.Impossible, lines, value: { story: trace } };
    }
    const rows = trace.map(({ after, daemon, event, facts }) => [
      `${Math.round(after)} ms`,
      daemon,
      event,
      facts,
    ]);
    const lines = formatTable([['after', 'daemon', 'event', 'fields'], ...rows]);
    return { exitCode: ExitCode.Done, lines, value: { story: trace } };
  }
}
