import type { AskedMembers } from '../daemons/fetchMembersFromAny.js';
import { getBehind, getLiveMembers, getStateText } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import type { Report } from '../Report.js';
import { formatTable } from '../text/formatTable.js';

/** How far a generation is in force, daemon by daemon. */
export function getSpreadReport({ address, list }: AskedMembers, generation: number): Report {
  const live = getLiveMembers(list);
  const behind = getBehind(list, generation);
  const rows = live.map((member) => [
    member.id,
    member.availabilityZone,
    getStateText(member),
    String(member.generation),
    member.generation < generation ? String(generation - member.generation) : '-',
  ]);
  const inForce = live.length - behind.length;
  return {
    exitCode: behind.length === 0 ? ExitCode.Done : ExitCode.NotInForce,
    lines: [
      ...formatTable([['daemon', 'zone', 'state', 'in force', 'behind by'], ...rows]),
      `generation ${generation} is in force at ${inForce} of ${live.length} live daemons (asked ${list.self} at ${address})`,
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
