import { PeerTable, peerOptions } from './PeerTable.js';

const SILENCE = 3_500;

describe('PeerTable', () => {
  it('counts a listed daemon as live once it is heard, and as gone once it is silent', () => {
    const table = new PeerTable('d-1');
    table.setListed(
      [
        { id: 'd-1', address: 'a:1', availabilityZone: 'z' },
        { id: 'd-2', address: 'a:2', availabilityZone: 'z' },
      ],
      0,
    );
    expect([table.ids, table.getAddresses(undefined)]).toEqual([['d-2'], []]);
    expect(table.getAddresses('d-2')).toEqual(['a:2']);
    expect(table.noteHeard({ id: 'd-2', address: 'a:2', availabilityZone: 'z' }, 10)).toBe(true);
    expect(table.noteHeard({ id: 'd-2', address: 'a:2', availabilityZone: 'z' }, 20)).toBe(false);
    expect(table.getAddresses(undefined)).toEqual(['a:2']);
    expect(table.takeSilent(20 + SILENCE, SILENCE)).toEqual([]);
    expect(table.takeSilent(21 + SILENCE, SILENCE)).toEqual(['d-2']);
    expect([table.ids, table.getAddresses(undefined)]).toEqual([['d-2'], []]);
  });

  it('takes a daemon that is back at another address', () => {
    const table = new PeerTable('d-1');
    table.noteHeard({ id: 'd-2', address: 'a:2', availabilityZone: 'z' }, 0);
    table.noteHeard({ id: 'd-2', address: 'b:2', availabilityZone: 'z' }, 1);
    expect(table.getAddresses(undefined)).toEqual(['b:2']);
  });

  it('gives up entries that were silent for long, and lets one daemon tidy up', () => {
    const table = new PeerTable('d-2');
    table.setListed([{ id: 'd-1', address: 'a:1', availabilityZone: 'z' }], 0);
    expect(table.isFirst).toBe(true);
    table.noteHeard({ id: 'd-1', address: 'a:1', availabilityZone: 'z' }, 0);
    expect(table.isFirst).toBe(false);
    table.takeSilent(SILENCE + 1, SILENCE);
    expect(table.takeForgotten(peerOptions.forgetAfter)).toEqual([]);
    expect(table.takeForgotten(peerOptions.forgetAfter * 2)).toEqual(['d-1']);
    expect(table.ids).toEqual([]);
  });
});
