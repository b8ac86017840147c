import { Command } from 'clipanion';
import { askAnyDaemon } from '../daemons/fetchMembersFromAny.js';
import { getStateText } from '../daemons/MemberList.js';
import type { MemberView } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import { createDaemonOption, getDaemons } from '../sharedOptions.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';
import { formatTime } from '../text/formatChange.js';
import { formatTable } from '../text/formatTable.js';

const CALL_TIMEOUT = 2000;

function getRow(member: MemberView): string[] {
  const { id, availabilityZone, generation, since } = member;
  const from = since === undefined ? '-' : formatTime(since);
  return [id, availabilityZone, getStateText(member), from, String(generation)];
}

/** `apricotrill members` */
export class MembersCommand extends OperatorCommand {
  static override paths = [['members']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'list the daemons as one of them sees them',
    details: `
      Asks the first of the named daemons that answers, and prints every daemon it knows with its
      availability zone, its state and since when, and the generation in force there as far as that
      daemon has heard: it hears from some at once and from others only now and then (\`status\` asks
      each itself). "unreachable" is a daemon whose region cannot be reached from there, "damped" one
      that goes and comes back too often and gets no duties until it stays. Ask another daemon for
      its view when the two may differ.

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
