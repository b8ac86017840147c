import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';

type Provider = experimental.CertificateProvider;
type CaCertificateListener = Parameters<Provider['addCaCertificateListener']>[0];
type IdentityListener = Parameters<Provider['addIdentityCertificateListener']>[0];

/**
 * Provides gRPC with a daemon's keys, initially and each time they change. Open connections keep
 * their keys until they are closed; new ones use the new keys.
 *
 * @internal
 */
export class KeyProvider implements Provider {
  private readonly caCertificateListeners = new Set<CaCertificateListener>();

  private readonly identityListeners = new Set<IdentityListener>();

  private readonly unsubscribe: () => void;

  constructor(private readonly source: KeySource) {
    this.unsubscribe = source.onChange((keys) => this.notifyAll(keys));
  }

  addCaCertificateListener(listener: CaCertificateListener): void {
    this.caCertificateListeners.add(listener);
    KeyProvider.notifyLater(this.caCertificateListeners, listener, () => ({
      caCertificate: this.source.getCurrent().caCertificate,
    }));
  }

  removeCaCertificateListener(listener: CaCertificateListener): void {
    this.caCertificateListeners.delete(listener);
  }

  addIdentityCertificateListener(listener: IdentityListener): void {
    this.identityListeners.add(listener);
    KeyProvider.notifyLater(this.identityListeners, listener, () => this.source.getCurrent());
  }

  removeIdentityCertificateListener(listener: IdentityListener): void {
    this.identityListeners.delete(listener);
  }

  dispose(): void {
    this.unsubscribe();
  }

  /**
   * gRPC's server registers with its provider before it listens to its own credentials. A
   * notification sent during the registration would be lost, and the server would reject every
   * connection.
   */
  private static notifyLater<Update>(
    listeners: ReadonlySet<(update: Update) => void>,
    listener: (update: Update) => void,
    getUpdate: () => Update,
  ): void {
    queueMicrotask(() => {
      if (listeners.has(listener)) {
        listener(getUpdate());
      }
    });
  }

  private notifyAll(keys: KeyMaterial): void {
    this.caCertificateListeners.forEach((listener) =>
      listener({ caCertificate: keys.caCertificate }),
    );
    this.identityListeners.forEach((listener) => listener(keys));
  }
}

/**
 * The server's credentials: clients must present a certificate of our certificate authority.
 *
 * @param provider - the keys; undefined for unencrypted connections
 * @example
 * ```ts
 * server.bindAsync(address, getServerCredentials(provider), onBound);
 * ```
 * @internal
 */
export function getServerCredentials(provider: KeyProvider | undefined): ServerCredentials {
  return provider === undefined
    ? ServerCredentials.createInsecure()
    : experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

/**
 * The client's credentials. The name in the peer's certificate is not compared with its address,
 * because instances are replaced at any time and can get any address: only the signature of our
 * certificate authority is checked.
 *
 * @param provider - the keys; undefined for unencrypted connections
 * @example
 * ```ts
 * const client = new Client(target, getChannelCredentials(provider), options);
 * ```
 * @internal
 */
export function getChannelCredentials(provider: KeyProvider | undefined): ChannelCredentials {
  return provider === undefined
    ? credentials.createInsecure()
    : experimental.createCertificateProviderChannelCredentials(provider, provider, {
        checkServerIdentity: () => undefined,
      });
}
