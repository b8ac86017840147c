import type { KeyMaterial } from '@apricotrill/keys';
import { CertificateAuthority } from '@apricotrill/standins';
import { SystemClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { connect } from 'node:tls';
import type { HandlerContext } from './HandlerContext.js';
import { CallerServer } from './CallerServer.js';

/** Creates a context for requests that need no scheduler. */
function createContext(): HandlerContext {
  const context: Partial<HandlerContext> = {
    clock: new SystemClock(),
    limits: { maxBodyBytes: 1000, bodyTimeout: 1000 },
    getTable: () => undefined,
    log: () => undefined,
  };
  return context as HandlerContext;
}

/** Returns the serial number of the certificate that the server presents. */
async function getSerialNumber(port: number, authority: Buffer): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port, ca: authority });
  await once(socket, 'secureConnect');
  const { serialNumber } = socket.getPeerCertificate();
  socket.destroy();
  return serialNumber;
}

describe('CallerServer with keys', () => {
  /*
   * Guards against a server that keeps the certificate it was started with: after the operators
   * replace the files without a restart, callers would reject the daemon once the first certificate
   * expires.
   */
  it('presents the latest certificate on each new connection', async () => {
    const authority = await CertificateAuthority.create('callers');
    const first = await authority.issue('daemon-1');
    const second = await authority.issue('daemon-1');
    let notify: (keys: KeyMaterial) => void = () => undefined;
    const keys = {
      getCurrent: () => first,
      onChange: (listener: (next: KeyMaterial) => void) => {
        notify = listener;
        return () => undefined;
      },
    };
    const server = new CallerServer(createContext(), {
      host: '127.0.0.1',
      port: 0,
      headersTimeout: 1000,
      keys,
      onFault: (error) => {
        throw error;
      },
    });
    const port = await server.listen();
    const before = await getSerialNumber(port, first.caCertificate);
    notify(second);
    const after = await getSerialNumber(port, first.caCertificate);
    server.dispose();
    expect(before).not.toBe('');
    expect(after).not.toBe(before);
  });
});
