import type { KeyMaterial } from '@apricotrill/keys';
import { CertificateAuthority } from '@apricotrill/standins';
import { SystemClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { connect } from 'node:tls';
import type { CallerContext } from './HandlerContext.js';
import { CallerServer } from './CallerServer.js';

/** A context for requests that need no scheduler. */
function createContext(): CallerContext {
  const context: Partial<CallerContext> = {
    clock: new SystemClock(),
    limits: { maxBodyBytes: 1000, bodyTimeout: 1000 },
    getTable: () => undefined,
    log: () => undefined,
  };
  return context as CallerContext;
}

/** The serial number of the certificate that the server shows. */
async function getSerial(port: number, authority: Buffer): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port, ca: authority });
  await once(socket, 'secureConnect');
  const { serialNumber } = socket.getPeerCertificate();
  socket.destroy();
  return serialNumber;
}

describe('CallerServer with keys', () => {
  /*
   * Symptom: callers refuse the daemon once its first certificate has run out.
   * Sequence: the operators replace the files; the daemon is not restarted.
   * Cause: the server went on with the keys of its start.
   */
  it('shows the newest certificate to each new connection', async () => {
    const authority = await CertificateAuthority.create('callers');
    const first = await authority.issue('daemon-1');
    const second = await authority.issue('daemon-1');
    let tell: (keys: KeyMaterial) => void = () => undefined;
    const keys = {
      getCurrent: () => first,
      onChange: (listener: (next: KeyMaterial) => void) => {
        tell = listener;
        return () => undefined;
      },
    };
    const server = new CallerServer(createContext(), {
      host: '127.0.0.1',
      port: 0,
      headersTimeout: 1000,
      keys,
    });
    const port = await server.listen();
    const before = await getSerial(port, first.caCertificate);
    tell(second);
    const after = await getSerial(port, first.caCertificate);
    server.dispose();
    expect(before).not.toBe('');
    expect(after).not.toBe(before);
  });
});
