import { CertificateAuthority } from '@apricotrill/standins';
import { SystemClock } from '@apricotrill/utils';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { KeyMaterial } from '../KeyMaterial.js';
import { KeyFiles } from './KeyFiles.js';
import type { KeyEvent, KeyFileNames } from './KeyFiles.js';

describe('KeyFiles', () => {
  let directory: string;
  let files: KeyFileNames;
  let authority: CertificateAuthority;
  let keyFiles: KeyFiles;
  const events: KeyEvent[] = [];

  async function write({ certificate, privateKey, caCertificate }: KeyMaterial): Promise<void> {
    await writeFile(files.certFile, certificate);
    await writeFile(files.keyFile, privateKey);
    await writeFile(files.caFile, caCertificate);
  }

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'apricotrill-keys-'));
    files = {
      certFile: join(directory, 'cert.pem'),
      keyFile: join(directory, 'key.pem'),
      caFile: join(directory, 'ca.pem'),
    };
    authority = await CertificateAuthority.create('test');
    events.length = 0;
    keyFiles = new KeyFiles({
      files,
      clock: new SystemClock(),
      onEvent: (event) => events.push(event),
    });
  });

  afterEach(async () => {
    keyFiles.dispose();
    await rm(directory, { recursive: true });
  });

  it('notifies its listeners of new keys only', async () => {
    await write(await authority.issue('daemon-1'));
    await keyFiles.load();
    const receivedKeys: KeyMaterial[] = [];
    keyFiles.onChange((keys) => receivedKeys.push(keys));
    await keyFiles.refresh();
    expect(receivedKeys).toHaveLength(0);
    const newKeys = await authority.issue('daemon-1');
    await write(newKeys);
    await keyFiles.refresh();
    expect(receivedKeys).toEqual([newKeys]);
    expect(keyFiles.getCurrent()).toEqual(newKeys);
  });

  /*
   * Guards against using a new certificate with the old private key when the files are read while
   * they are being replaced one by one: the daemon would refuse every connection.
   */
  it('keeps the old keys while the new files do not match, then uses the new ones', async () => {
    const oldKeys = await authority.issue('daemon-1');
    await write(oldKeys);
    await keyFiles.load();
    const newKeys = await authority.issue('daemon-1');
    await writeFile(files.certFile, newKeys.certificate);
    await keyFiles.refresh();
    expect(keyFiles.getCurrent()).toEqual(oldKeys);
    expect(events).toMatchObject([{ kind: 'keys-refused', peer: 'certificate' }]);
    await writeFile(files.keyFile, newKeys.privateKey);
    await keyFiles.refresh();
    expect(keyFiles.getCurrent()).toEqual(newKeys);
    expect(events.at(-1)).toEqual({ kind: 'keys-replaced' });
  });

  it.each([
    [
      'is partly written',
      async (keys: KeyMaterial) => ({ ...keys, certificate: keys.certificate.subarray(0, 200) }),
    ],
    ['is expired', async () => authority.issue('daemon-1', -1000)],
  ])('refuses to start with a certificate that %s', async (_fault, corrupt) => {
    await write(await corrupt(await authority.issue('daemon-1')));
    await expect(keyFiles.load()).rejects.toMatchObject({ step: 'keys', peer: 'certificate' });
  });

  it('names the file that is missing', async () => {
    await expect(keyFiles.load()).rejects.toMatchObject({ name: 'KeyError', step: 'keys' });
  });
});
