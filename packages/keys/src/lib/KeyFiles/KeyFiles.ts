import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import { readFile } from 'node:fs/promises';
import { checkKeyMaterial } from '../checkKeyMaterial.js';
import { KeyError } from '../KeyError.js';
import type { KeyMaterial, KeySource } from '../KeyMaterial.js';

/**
 * The paths of the key files.
 *
 * @public
 */
export interface KeyFileNames {
  certFile: string;
  keyFile: string;
  caFile: string;
}

/**
 * Reports new keys in use, or key files that were rejected.
 *
 * @public
 */
export type KeyEvent =
  { kind: 'keys-replaced' } | { kind: 'keys-refused'; reason: string; peer: string };

/**
 * Constructor arguments of {@link KeyFiles}.
 *
 * @public
 */
export interface KeySettings {
  files: KeyFileNames;
  clock: Clock;
  /** Interval between reads of the files. Default 10 s. */
  interval?: Milliseconds;
  onEvent?: (event: KeyEvent) => void;
}

const DEFAULT_INTERVAL: Milliseconds = 10_000;

function isEqual(left: KeyMaterial, right: KeyMaterial): boolean {
  return (
    left.certificate.equals(right.certificate) &&
    left.privateKey.equals(right.privateKey) &&
    left.caCertificate.equals(right.caCertificate)
  );
}

async function readKeyFile(file: string): Promise<Buffer> {
  try {
    return await readFile(file);
  } catch (cause) {
    throw new KeyError('key file cannot be read', { step: 'keys', peer: file, cause });
  }
}

async function readKeyMaterial(files: KeyFileNames): Promise<KeyMaterial> {
  const [certificate, privateKey, caCertificate] = await Promise.all([
    readKeyFile(files.certFile),
    readKeyFile(files.keyFile),
    readKeyFile(files.caFile),
  ]);
  return { certificate, privateKey, caCertificate };
}

/**
 * The newest valid keys of a daemon. The files are polled instead of watched: a file watch misses
 * replacement by rename on some file systems, and each poll costs only three small reads.
 *
 * @example
 * ```ts
 * const keys = new KeyFiles({ files, clock });
 * await keys.load();
 * keys.onChange((material) => server.replaceKeys(material));
 * ```
 * @public
 */
export class KeyFiles implements KeySource {
  private readonly listeners = new Set<(keys: KeyMaterial) => void>();

  private current: KeyMaterial | undefined;

  private timer: Timer | undefined;

  private disposed = false;

  constructor(private readonly settings: KeySettings) {}

  /**
   * Reads the files for the first time and then at the interval.
   *
   * @throws KeyError when the keys are not valid: a daemon must not start without its keys
   */
  async load(): Promise<void> {
    const keys = await readKeyMaterial(this.settings.files);
    checkKeyMaterial(keys, this.settings.clock.now());
    this.current = keys;
    this.schedule();
  }

  /** The keys in use; {@link KeyFiles.load} must have completed. */
  getCurrent(): KeyMaterial {
    if (this.current === undefined) {
      throw new KeyError('keys are not loaded yet', {
        step: 'keys',
        peer: this.settings.files.certFile,
      });
    }
    return this.current;
  }

  onChange(listener: (keys: KeyMaterial) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Reads the files now and uses the keys if they are new and valid. */
  async refresh(): Promise<void> {
    try {
      const keys = await readKeyMaterial(this.settings.files);
      if (this.current === undefined || isEqual(keys, this.current)) {
        return;
      }
      checkKeyMaterial(keys, this.settings.clock.now());
      this.replace(keys);
    } catch (error) {
      const { message, peer } = error as KeyError;
      this.settings.onEvent?.({ kind: 'keys-refused', reason: message, peer });
    }
  }

  dispose(): void {
    this.disposed = true;
    this.timer?.cancel();
    this.listeners.clear();
  }

  private replace(keys: KeyMaterial): void {
    this.current = keys;
    this.listeners.forEach((listener) => listener(keys));
    this.settings.onEvent?.({ kind: 'keys-replaced' });
  }

  private schedule(): void {
    if (this.disposed) {
      return;
    }
    const interval = this.settings.interval ?? DEFAULT_INTERVAL;
    this.timer = this.settings.clock.setTimer(interval, () => {
      this.refresh().finally(() => this.schedule());
    });
  }
}
