/**
 * A daemon's certificate and private key, and the CA certificate that verifies peers, in PEM
 * format.
 *
 * @public
 */
export interface KeyMaterial {
  certificate: Buffer;
  privateKey: Buffer;
  /** The certificate authority that signs the certificates of all daemons. */
  caCertificate: Buffer;
}

/**
 * Provides the current keys and notifies of changes.
 *
 * @public
 */
export interface KeySource {
  getCurrent(): KeyMaterial;
  /** Calls the listener with each new set of keys; returns a function that unsubscribes it. */
  onChange(listener: (keys: KeyMaterial) => void): () => void;
}
