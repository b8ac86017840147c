import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { CertificateAuthority } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import { Mesh } from '../Mesh/Mesh.js';

/** Keys that a test replaces. */
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
  it('carries messages between holders of certificates of one authority', async () => {
    const authority = await CertificateAuthority.create('ours');
    const alpha = await createMesh('alpha', new TestKeys(await authority.issue('alpha')));
    const beta = await createMesh('beta', new TestKeys(await authority.issue('beta')));
    expect(await alpha.mesh.call(beta.address, 'echo', 'hello')).toBe('hello');
  });

  /*
   * Symptom: a stranger on the network changes what daemons hold.
   * Sequence: a process with another authority's certificate, or with none, calls the mesh.
   * Cause: the server asked nobody for a certificate of our authority.
   */
  it('lets in neither a certificate of another authority nor a plain connection', async () => {
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
   * Symptom: after a change of keys, new daemons can't reach the ones that were running.
   * Sequence: the authority is replaced; a running daemon gets new keys; a new daemon calls it.
   * Cause: the running daemon went on with the keys of its start.
   */
  it('takes new keys without a restart', async () => {
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
