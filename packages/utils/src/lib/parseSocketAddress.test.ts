import { parseSocketAddress } from './parseSocketAddress.js';

describe('parseSocketAddress', () => {
  it('returns the host and the port', () => {
    expect(parseSocketAddress('10.1.0.7:7201')).toEqual({ host: '10.1.0.7', port: 7201 });
    expect(parseSocketAddress('127.0.0.1:65535')).toEqual({ host: '127.0.0.1', port: 65_535 });
  });

  // Guards against addresses that pass a check of their format and throw where they are used.
  it.each([
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:70000',
    '999.0.0.1:80',
    '1.2.3:80',
    '1.2.3.4.5:80',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:80\n',
    ' 127.0.0.1:80',
    '127.0.0.1:80/path',
    'localhost:80',
    '',
  ])('rejects %j', (text) => {
    expect(parseSocketAddress(text)).toBeUndefined();
  });
});
