import { Command, Option } from 'clipanion';
import { ExitCode } from '../ExitCode.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTable } from '../text/formatTable.js';
import { readLogLines } from '../trace/readLogLines.js';
import { getStory } from '../trace/RequestTrace.js';

/** `apricotrill trace` */
export class TraceCommand extends OperatorCommand {
  static override paths = [['trace']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'tell the story of one request from the logs of the daemons',
    details: `
      Reads log lines of one or several daemons, from files or standard input, and prints what was
      decided about a request, in order: when, by which daemon, what was known, and the outcome.
      Whatever stands before the JSON of a line is taken for the daemon's name; a line without
      JSON is passed over. Lines about the replicas that it met are shown as well.

      Exit status: 0 found, 2 a file can't be read, 7 no line of the request.
    `,
    examples: [
      ['From files', '$0 trace 9c41d07be2a35f68 edge-1.log edge-2.log'],
      ['From standard input', 'cat *.log | $0 trace 9c41d07be2a35f68'],
    ],
  });

  id = Option.String({ required: true });

  files = Option.Rest();

  protected async run(): Promise<Report> {
    const story = getStory(await readLogLines(this.files, this.context.stdin), this.id);
    if (story.length === 0) {
      const lines = [`no line of request ${this.id}`];
      return { exitCode: ExitCode.Impossible, lines, value: { story } };
    }
    const rows = story.map(({ after, daemon, event, facts }) => [
      `${Math.round(after)} ms`,
      daemon,
      event,
      facts,
    ]);
    const lines = formatTable([
      ['after', 'daemon', 'event', 'what was known and decided'],
      ...rows,
    ]);
    return { exitCode: ExitCode.Done, lines, value: { story } };
  }
}
