import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';

type Provider = experimental.CertificateProvider;
type AuthorityListener = Parameters<Provider['addCaCertificateListener']>[0];
type IdentityListener = Parameters<Provider['addIdentityCertificateListener']>[0];

/**
 * Hands a daemon's keys to gRPC, now and each time they change. Connections that are open keep
 * their keys until they end; new ones take the new keys.
 *
 * @internal
 */
export class KeyProvider implements Provider {
  private readonly authorityListeners = new Set<AuthorityListener>();

  private readonly identityListeners = new Set<IdentityListener>();

  private readonly stop: () => void;

  constructor(private readonly source: KeySource) {
    this.stop = source.onChange((keys) => this.tellAll(keys));
  }

  addCaCertificateListener(listener: AuthorityListener): void {
    this.authorityListeners.add(listener);
    KeyProvider.tellLater(this.authorityListeners, listener, () => ({
      caCertificate: this.source.getCurrent().caCertificate,
    }));
  }

  removeCaCertificateListener(listener: AuthorityListener): void {
    this.authorityListeners.delete(listener);
  }

  addIdentityCertificateListener(listener: IdentityListener): void {
    this.identityListeners.add(listener);
    KeyProvider.tellLater(this.identityListeners, listener, () => this.source.getCurrent());
  }

  removeIdentityCertificateListener(listener: IdentityListener): void {
    this.identityListeners.delete(listener);
  }

  dispose(): void {
    this.stop();
  }

  /**
   * gRPC's server registers its provider before it listens to its own credentials; what is told
   * during the registration is lost, and the server would refuse every connection.
   */
  private static tellLater<Update>(
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

  private tellAll(keys: KeyMaterial): void {
    this.authorityListeners.forEach((listener) => listener({ caCertificate: keys.caCertificate }));
    this.identityListeners.forEach((listener) => listener(keys));
  }
}

/**
 * The credentials to listen with: only holders of a certificate of our authority get in.
 *
 * @param provider - the keys; undefined for plain connections
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
 * The credentials to call with. The name in the peer's certificate is not compared with its address:
 * instances are replaced at any time and get any address, so what counts is the signature of our
 * authority.
 *
 * @param provider - the keys; undefined for plain connections
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
