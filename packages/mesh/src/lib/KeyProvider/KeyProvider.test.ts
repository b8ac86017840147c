import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { CertificateAuthority } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import { Mesh } from '../Mesh/Mesh.js';

/** A key source whose keys a test can replace. */
class TestKeys implements KeySource {
  private readonly listeners = new Set<(keys: KeyMaterial) => void>();

  constructor(private current: KeyMaterial) {}

  getCurrent(): KeyMaterial {
    return this.current;
  }

  onChange(listener: (keys: KeyMaterial) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  replace(keys: KeyMaterial): void {
    this.current = keys;
    this.listeners.forEach((listener) => listener(keys));
  }
}

const meshes: Mesh[] = [];

afterEach(() => meshes.splice(0).forEach((mesh) => mesh.dispose()));

async function createMesh(self: string, keys?: KeySource) {
  const mesh = new Mesh({ self, host: '127.0.0.1', port: 0, clock: new ManualClock(), keys });
  meshes.push(mesh);
  mesh.handle('echo', (message) => message);
  return { mesh, address: `127.0.0.1:${await mesh.listen()}` };
}

describe('mesh with keys', () => {
  it('delivers messages between daemons with certificates of the same authority', async () => {
    const authority = await CertificateAuthority.create('ours');
    const alpha = await createMesh('alpha', new TestKeys(await authority.issue('alpha')));
    const beta = await createMesh('beta', new TestKeys(await authority.issue('beta')));
    expect(await alpha.mesh.call(beta.address, 'echo', 'hello')).toBe('hello');
  });

  /*
   * An unauthorized process could change the state of daemons: the server did not require clients
   * to present a certificate of our authority.
   */
  it('rejects certificates of another authority and unencrypted connections', async () => {
    const authority = await CertificateAuthority.create('ours');
    const other = await CertificateAuthority.create('theirs');
    const beta = await createMesh('beta', new TestKeys(await authority.issue('beta')));
    const ownAuthority = (await authority.issue('alpha')).caCertificate;
    const forged = { ...(await other.issue('alpha')), caCertificate: ownAuthority };
    const stranger = await createMesh('alpha', new TestKeys(forged));
    const plain = await createMesh('alpha');
    await expect(stranger.mesh.call(beta.address, 'echo', 1)).rejects.toThrow();
    await expect(plain.mesh.call(beta.address, 'echo', 1)).rejects.toThrow();
  });

  /*
   * After the authority was replaced, new daemons could not reach running ones, which got new keys
   * but continued to use those they had started with.
   */
  it('uses new keys without a restart', async () => {
    const old = await CertificateAuthority.create('old');
    const next = await CertificateAuthority.create('next');
    const keys = new TestKeys(await old.issue('beta'));
    const beta = await createMesh('beta', keys);
    keys.replace(await next.issue('beta'));
    const alpha = await createMesh('alpha', new TestKeys(await next.issue('alpha')));
    expect(await alpha.mesh.call(beta.address, 'echo', 'hello')).toBe('hello');
    expect(await beta.mesh.call(alpha.address, 'echo', 'back')).toBe('back');
  });
});
