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
  const decisions: KeyEvent[] = [];

  async function write({ certificate, privateKey, caCertificate: ca }: KeyMaterial): Promise<void> {
    await writeFile(files.certFile, certificate);
    await writeFile(files.keyFile, privateKey);
    await writeFile(files.caFile, ca);
  }

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'apricotrill-keys-'));
    files = {
      certFile: join(directory, 'cert.pem'),
      keyFile: join(directory, 'key.pem'),
      caFile: join(directory, 'ca.pem'),
    };
    authority = await CertificateAuthority.create('test');
    decisions.length = 0;
    keyFiles = new KeyFiles({
      files,
      clock: new SystemClock(),
      onEvent: (decision) => decisions.push(decision),
    });
  });

  afterEach(async () => {
    keyFiles.dispose();
    await rm(directory, { recursive: true });
  });

  it('tells its listeners of new keys, and only of new ones', async () => {
    await write(await authority.issue('daemon-1'));
    await keyFiles.load();
    const heard: KeyMaterial[] = [];
    keyFiles.onChange((keys) => heard.push(keys));
    await keyFiles.refresh();
    expect(heard).toHaveLength(0);
    const next = await authority.issue('daemon-1');
    await write(next);
    await keyFiles.refresh();
    expect(heard).toEqual([next]);
    expect(keyFiles.getCurrent()).toEqual(next);
  });

  /*
   * Symptom: after a change of keys the daemon refuses every connection.
   * Sequence: the files are replaced one after the other; the daemon reads them in between.
   * Cause: a new certificate was taken over beside the key of the old one.
   */
  it('keeps the old keys while the files do not belong together, then takes the new ones', async () => {
    const old = await authority.issue('daemon-1');
    await write(old);
    await keyFiles.load();
    const next = await authority.issue('daemon-1');
    await writeFile(files.certFile, next.certificate);
    await keyFiles.refresh();
    expect(keyFiles.getCurrent()).toEqual(old);
    expect(decisions).toMatchObject([{ kind: 'keys-refused', peer: 'certificate' }]);
    await writeFile(files.keyFile, next.privateKey);
    await keyFiles.refresh();
    expect(keyFiles.getCurrent()).toEqual(next);
    expect(decisions.at(-1)).toEqual({ kind: 'keys-replaced' });
  });

  it.each([
    [
      'is half written',
      async (keys: KeyMaterial) => ({ ...keys, certificate: keys.certificate.subarray(0, 200) }),
    ],
    ['is out of date', async () => authority.issue('daemon-1', -1000)],
  ])('refuses to start with a certificate that %s', async (_what, spoil) => {
    await write(await spoil(await authority.issue('daemon-1')));
    await expect(keyFiles.load()).rejects.toMatchObject({ step: 'keys', peer: 'certificate' });
  });

  it('names the file that is missing', async () => {
    await expect(keyFiles.load()).rejects.toMatchObject({ name: 'KeyError', step: 'keys' });
  });
});
