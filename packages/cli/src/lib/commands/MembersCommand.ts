import { Command } from 'clipanion';
import { askAnyDaemon } from '../daemons/askAnyDaemon.js';
import type { MemberView } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import { createDaemonOption, getDaemons } from '../sharedOptions.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTime } from '../text/formatChange.js';
import { formatTable } from '../text/formatTable.js';

const CALL_TIMEOUT = 2000;

function getRow(member: MemberView): string[] {
  const { id, availabilityZone, state, generation, lastHeard } = member;
  const heard = lastHeard === undefined ? '-' : formatTime(lastHeard);
  return [id, availabilityZone, state, String(generation), heard];
}

/** `apricotrill members` */
export class MembersCommand extends OperatorCommand {
  static override paths = [['members']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'list the daemons as one of them sees them',
    details: `
      Asks the first of the named daemons that answers, and prints every daemon it knows with its
      availability zone, state, the generation in force there and when it was last heard of. Ask
      another daemon for its view when the two may differ.

      Exit status: 0 answered, 4 no answer from any of the daemons named.
    `,
    examples: [['Ask a daemon', '$0 members --daemon 10.0.0.1:8082']],
  });

  daemon = createDaemonOption();

  protected async run(): Promise<Report> {
    const { address, list } = await askAnyDaemon(
      this.context,
      getDaemons(this.daemon),
      CALL_TIMEOUT,
    );
    const headings = ['daemon', 'zone', 'state', 'in force', 'last heard'];
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
