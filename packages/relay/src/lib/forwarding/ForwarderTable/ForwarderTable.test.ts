import { ManualClock } from '@apricotrill/utils';
import { forwardingOptions } from '../forwardingOptions.js';
import { ForwarderTable } from './ForwarderTable.js';

const SELF = { id: 'd-0', address: '10.0.0.1:1', availabilityZone: 'a' };

function createTable(zones: readonly string[]) {
  const clock = new ManualClock(1_000);
  const table = new ForwarderTable({ self: SELF, clock });
  const peers = zones.map((availabilityZone, index) => ({
    id: `d-${index + 1}`,
    address: `10.0.0.${index + 2}:1`,
    availabilityZone,
  }));
  table.setFleet([SELF, ...peers]);
  return { clock, table };
}

describe('ForwarderTable', () => {
  it('prefers the same availability zone until others have clearly fewer requests', () => {
    const { table } = createTable(['b', 'a', 'b']);
    const chosen = Array.from({ length: 6 }, () => {
      const { id } = table.choose(new Set())!;
      table.recordStart(id);
      return id;
    });
    expect(chosen.slice(0, 2)).toEqual(['d-2', 'd-2']);
    expect(new Set(chosen).size).toBe(3);
    chosen.forEach((id) => table.recordEnd(id));
    expect(table.choose(new Set())?.id).toBe('d-2');
  });

  it('uses no peer that is isolated, until it says otherwise or its word expires', () => {
    const { clock, table } = createTable(['a', 'b']);
    expect(table.recordIsolation('d-1', true)).toBe(true);
    expect(table.recordIsolation('d-1', true)).toBe(false);
    expect(table.choose(new Set())?.id).toBe('d-2');
    table.recordIsolation('d-2', true);
    expect(table.isAvailable).toBe(false);
    expect(table.getPeers(3)).toEqual([]);
    table.recordIsolation('d-1', false);
    expect(table.choose(new Set())?.id).toBe('d-1');
    clock.advance(forwardingOptions.isolationExpiry + 1);
    expect(table.getPeers(3)).toHaveLength(2);
  });

  it('avoids a peer for a while after a failure, and what it excludes', () => {
    const { clock, table } = createTable(['a', 'a']);
    const first = table.choose(new Set())!.id;
    table.recordFailure(first);
    const second = table.choose(new Set())!.id;
    expect(second).not.toBe(first);
    expect(table.choose(new Set([second]))).toBeUndefined();
    clock.advance(forwardingOptions.failureBackoff + 1);
    expect(table.choose(new Set([second]))?.id).toBe(first);
  });

  // Guards against a connection from each daemon of a lost zone to each of the others.
  it('spreads attempts over a few peers only', () => {
    const { table } = createTable(Array<string>(40).fill('b'));
    const chosen = Array.from({ length: 200 }, () => {
      const { id } = table.choose(new Set())!;
      table.recordStart(id);
      return id;
    });
    expect(new Set(chosen).size).toBe(forwardingOptions.maxForwarders);
  });

  // Guards against asking only peers that are behind the same partition.
  it('asks peers of different availability zones about a path', () => {
    const { table } = createTable(['a', 'a', 'a', 'b', 'c']);
    const zones = table.getPeers(3).map(({ availabilityZone }) => availabilityZone);
    expect(new Set(zones)).toEqual(new Set(['a', 'b', 'c']));
  });

  it('keeps what it knows of peers when the fleet changes', () => {
    const { table } = createTable(['a', 'a']);
    table.recordIsolation('d-1', true);
    table.setFleet([SELF, { id: 'd-1', address: '10.0.0.2:1', availabilityZone: 'a' }]);
    expect(table.isAvailable).toBe(false);
  });
});
