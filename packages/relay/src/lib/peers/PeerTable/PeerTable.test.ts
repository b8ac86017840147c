import { PeerTable, peerTableOptions } from './PeerTable.js';

const MAX_SILENCE = 3_500;

describe('PeerTable', () => {
  it('counts a daemon as live from its first message until it has been silent for too long', () => {
    const table = new PeerTable('d-1');
    table.setDirectoryEntries(
      [
        { id: 'd-1', address: 'a:1', availabilityZone: 'z' },
        { id: 'd-2', address: 'a:2', availabilityZone: 'z' },
      ],
      0,
    );
    expect([table.ids, table.getAddresses(undefined)]).toEqual([['d-2'], []]);
    expect(table.getAddresses('d-2')).toEqual(['a:2']);
    expect(table.recordMessage({ id: 'd-2', address: 'a:2', availabilityZone: 'z' }, 10)).toBe(
      true,
    );
    expect(table.recordMessage({ id: 'd-2', address: 'a:2', availabilityZone: 'z' }, 20)).toBe(
      false,
    );
    expect(table.getAddresses(undefined)).toEqual(['a:2']);
    expect(table.expireSilent(20 + MAX_SILENCE, MAX_SILENCE)).toEqual([]);
    expect(table.expireSilent(21 + MAX_SILENCE, MAX_SILENCE)).toEqual(['d-2']);
    expect([table.ids, table.getAddresses(undefined)]).toEqual([['d-2'], []]);
  });

  it('updates the address of a daemon that has returned at a different one', () => {
    const table = new PeerTable('d-1');
    table.recordMessage({ id: 'd-2', address: 'a:2', availabilityZone: 'z' }, 0);
    table.recordMessage({ id: 'd-2', address: 'b:2', availabilityZone: 'z' }, 1);
    expect(table.getAddresses(undefined)).toEqual(['b:2']);
  });

  it('keeps the capacity that a peer stated, until it states another one', () => {
    const table = new PeerTable('d-1');
    const entry = { id: 'd-2', address: 'a:2', availabilityZone: 'z' };
    table.recordMessage(entry, 0);
    expect(table.getCapacity('d-2')).toBeUndefined();
    table.setDirectoryEntries([{ ...entry, capacity: 4 }], 10);
    expect(table.liveEntries).toEqual([{ ...entry, capacity: 4 }]);
    table.recordMessage({ ...entry, capacity: 9 }, 20);
    table.recordMessage(entry, 30);
    table.setDirectoryEntries([{ ...entry, capacity: 4 }], 40);
    expect(table.getCapacity('d-2')).toBe(9);
  });

  it('evicts peers that have been lost for long, and lets one daemon clean up the directory', () => {
    const table = new PeerTable('d-2');
    table.setDirectoryEntries([{ id: 'd-1', address: 'a:1', availabilityZone: 'z' }], 0);
    expect(table.hasLowestId).toBe(true);
    table.recordMessage({ id: 'd-1', address: 'a:1', availabilityZone: 'z' }, 0);
    expect(table.hasLowestId).toBe(false);
    table.expireSilent(MAX_SILENCE + 1, MAX_SILENCE);
    expect(table.evictUnseen(peerTableOptions.evictAfter)).toEqual([]);
    expect(table.evictUnseen(peerTableOptions.evictAfter * 2)).toEqual(['d-1']);
    expect(table.ids).toEqual([]);
  });
});
