import { defaultClusterOptions } from '../clusterOptions.js';
import type { MemberRecord } from '../Member.js';
import { MemberState } from '../Member.js';
import { MemberTable } from '../MemberTable/MemberTable.js';
import { ProbeTargets } from './ProbeTargets.js';

const records = Array.from({ length: 100 }, (_, index): MemberRecord => ({
  id: `daemon-${index}`,
  region: 'fi',
  availabilityZone: 'a',
  host: '127.0.0.1',
  port: 1,
  meshPort: index + 2,
  adminPort: 2,
  incarnation: 1,
  refutation: 0,
  state: MemberState.Alive,
}));

function createTargets(self: MemberRecord) {
  const table = new MemberTable();
  records.filter((record) => record !== self).forEach((record) => table.merge(record, 0));
  return { table, targets: new ProbeTargets(self, table, defaultClusterOptions) };
}

describe('ProbeTargets', () => {
  it('has every daemon probed by another, and on average by as many as there are rings', () => {
    const probed = records.flatMap((self) => createTargets(self).targets.getNeighbours());
    expect(new Set(probed).size).toBe(records.length);
    expect(probed).toHaveLength(records.length * defaultClusterOptions.probeRings);
  });

  it('probes the successors of suspected neighbours, and keeps probing the suspects', () => {
    // Guards against the failure of a zone taking longer to detect than that of a daemon: many
    // daemons fail at once, and some of them were probed only by failed ones.
    const { table, targets } = createTargets(records[0]!);
    const before = [...targets.getNeighbours()];
    before.forEach((id) => {
      table.merge({ ...table.get(id)!.record, state: MemberState.Suspect }, 0);
    });
    const after = targets.getNeighbours();
    expect(after).toEqual(expect.arrayContaining(before));
    const running = after.filter((id) => table.get(id)!.record.state === MemberState.Alive);
    expect(running).toHaveLength(defaultClusterOptions.probeRings);
  });
});
