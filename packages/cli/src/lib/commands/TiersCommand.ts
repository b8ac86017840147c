import { Command, Option } from 'clipanion';
import { cascade, isAtLeast, isNumber } from 'typanion';
import { ExitCode } from '../ExitCode.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTable } from '../text/formatTable.js';
import { getRequestOutcomes } from '../tiers/RequestOutcome.js';
import { getTierSummaries } from '../tiers/TierSummary.js';
import type { TierSummary } from '../tiers/TierSummary.js';
import { readLogLines } from '../trace/readLogLines.js';

const MILLISECONDS_PER_SECOND = 1_000;

const MIN_WINDOW_SECONDS = 0.1;

const isWindow = cascade(isNumber(), [isAtLeast(MIN_WINDOW_SECONDS)]);

const HEADINGS = [
  'service',
  'from',
  'route priority',
  'workspace priority',
  'requests',
  'not sent',
  'no first byte',
  'cut',
  'their tokens',
  'less urgent tokens begun',
  'overtaken by lower rank',
  'by equal rank',
  'by higher rank',
];

function formatSummary(summary: TierSummary): string[] {
  const { service, from, routePriority, workspacePriority, overtaken } = summary;
  const counts = [
    summary.requests,
    summary.notSent,
    summary.noFirstByte,
    summary.cut,
    summary.unansweredTokens,
    summary.lessUrgentTokens,
    overtaken.byLowerRank,
    overtaken.byEqualRank,
    overtaken.byHigherRank,
  ];
  return [
    service,
    `${from / MILLISECONDS_PER_SECOND} s`,
    String(routePriority),
    String(workspacePriority ?? '-'),
    ...counts.map(String),
  ];
}

/** `apricotrill tiers` */
export class TiersCommand extends OperatorCommand {
  static override paths = [['tiers']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'show which requests were not answered by priority, and what overtook them',
    details: `
      Reads log lines of several daemons from files or standard input, and prints for each window of
      time and each priority of routes and workspaces how many requests were not answered, how far
      they came, and how many prompt tokens of less urgent routes began in the same window. The last
      columns count the unanswered requests during which a less urgent one began at the same
      replica, by the rank that the replica was told.

      Exit status: 0 read, 2 a file cannot be read, 7 no request that was admitted and has ended.
    `,
    examples: [
      ['From files', '$0 tiers edge-1.log edge-2.log'],
      ['In windows of one second', '$0 tiers --window 1 edge-1.log'],
    ],
  });

  window = Option.String('--window', '5', {
    description: 'Length of a window in seconds; 5 by default.',
    validator: isWindow,
  });

  files = Option.Rest();

  protected async run(): Promise<Report> {
    const outcomes = getRequestOutcomes(await readLogLines(this.files, this.context.stdin));
    if (outcomes.length === 0) {
      const lines = ['no request that was admitted and has ended'];
      return { exitCode: ExitCode.Impossible, lines, value: { tiers: [] } };
    }
    const tiers = getTierSummaries(outcomes, this.window * MILLISECONDS_PER_SECOND);
    const lines = formatTable([HEADINGS, ...tiers.map(formatSummary)]);
    return { exitCode: ExitCode.Done, lines, value: { tiers } };
  }
}
