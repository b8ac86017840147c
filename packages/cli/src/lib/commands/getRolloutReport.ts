import type { MembersAnswer } from '../daemons/fetchMembersFromAny.js';
import { getLaggingMembers, getLiveMembers, formatState } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import type { Report } from '../Report.js';
import { formatTable } from '../text/formatTable.js';

/** Reports at which daemons a generation is in force. */
export function getRolloutReport({ address, list }: MembersAnswer, generation: number): Report {
  const live = getLiveMembers(list);
  const lagging = getLaggingMembers(list, generation);
  const rows = live.map((member) => [
    member.id,
    member.availabilityZone,
    formatState(member),
    String(member.generation),
    member.generation < generation ? String(generation - member.generation) : '-',
  ]);
  const inForce = live.length - lagging.length;
  return {
    exitCode: lagging.length === 0 ? ExitCode.Done : ExitCode.NotInForce,
    lines: [
      ...formatTable([['daemon', 'zone', 'state', 'in force', 'behind by'], ...rows]),
      `generation ${generation} is in force at ${inForce} of ${live.length} live daemons (according to ${list.self} at ${address})`,
    ],
    value: {
      generation,
      asked: { id: list.self, address },
      inForce,
      live: live.length,
      members: live,
    },
  };
}
