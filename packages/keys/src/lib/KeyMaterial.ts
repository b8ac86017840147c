/**
 * What a daemon proves itself with, and what it checks others by. All three are PEM texts.
 *
 * @public
 */
export interface KeyMaterial {
  certificate: Buffer;
  privateKey: Buffer;
  /** The authority that signs the certificates of all daemons. */
  caCertificate: Buffer;
}

/**
 * Where the newest keys come from.
 *
 * @public
 */
export interface KeySource {
  getCurrent(): KeyMaterial;
  /** Calls back with each new set of keys; returns how to stop that. */
  onChange(listener: (keys: KeyMaterial) => void): () => void;
}
