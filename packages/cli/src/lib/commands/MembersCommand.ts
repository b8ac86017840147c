import { Command } from 'clipanion';
import { fetchMembersFromAny } from '../daemons/fetchMembersFromAny.js';
import { formatState } from '../daemons/MemberList.js';
import type { MemberView } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import { createDaemonOption, getDaemons } from '../sharedOptions.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTime } from '../text/formatChange.js';
import { formatTable } from '../text/formatTable.js';

const CALL_TIMEOUT_MS = 2000;

function getRow(member: MemberView): string[] {
  const { id, availabilityZone, generation, since } = member;
  const from = since === undefined ? '-' : formatTime(since);
  return [id, availabilityZone, formatState(member), from, String(generation)];
}

/** `apricotrill members` */
export class MembersCommand extends OperatorCommand {
  static override paths = [['members']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'list the daemons as seen by one of them',
    details: `
      Queries the first of the given daemons that answers, and prints every daemon it knows: the
      availability zone, the state and when it was entered, and the last known generation in force.
      That generation may be outdated, since a daemon hears from some daemons at once and from others
      only occasionally (\`status\` queries each daemon itself). "unreachable" means that the region
      of a daemon cannot be reached from the queried one, "damped" that a daemon leaves and rejoins
      too often and is given no duties until it is stable. Other daemons may have a different view.

      Exit status: 0 answered, 4 no answer from any of the given daemons.
    `,
    examples: [['Query a daemon', '$0 members --daemon 10.0.0.1:8082']],
  });

  daemon = createDaemonOption();

  protected async run(): Promise<Report> {
    const { address, list } = await fetchMembersFromAny(
      this.context,
      getDaemons(this.daemon),
      CALL_TIMEOUT_MS,
    );
    const headings = ['daemon', 'zone', 'state', 'since', 'in force'];
    return {
      exitCode: ExitCode.Done,
      lines: [
        ...formatTable([headings, ...list.members.map(getRow)]),
        `${list.members.length} members, as seen by ${list.self} at ${address}`,
      ],
      value: list,
    };
  }
}
