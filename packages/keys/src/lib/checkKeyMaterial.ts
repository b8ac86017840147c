import { X509Certificate, createPrivateKey } from 'node:crypto';
import type { Milliseconds } from '@apricotrill/utils';
import { KeyError } from './KeyError.js';
import type { KeyMaterial } from './KeyMaterial.js';

const STEP = 'keys';

function parse<Value>(what: string, read: () => Value): Value {
  try {
    return read();
  } catch (cause) {
    throw new KeyError(`it holds no ${what} in PEM form`, { step: STEP, peer: what, cause });
  }
}

/**
 * Refuses keys that would take a daemon off the network: files that are half written, a certificate
 * beside the key of another one, or a certificate that is out of date.
 *
 * @param keys - what the files held
 * @param now - milliseconds since the epoch
 * @throws KeyError saying which file is wrong and why
 * @example
 * ```ts
 * checkKeyMaterial(keys, clock.now());
 * ```
 * @public
 */
export function checkKeyMaterial(keys: KeyMaterial, now: Milliseconds): void {
  const certificate = parse('certificate', () => new X509Certificate(keys.certificate));
  const privateKey = parse('private key', () => createPrivateKey(keys.privateKey));
  parse('authority', () => new X509Certificate(keys.caCertificate));
  if (!certificate.checkPrivateKey(privateKey)) {
    throw new KeyError('it does not belong to the private key', {
      step: STEP,
      peer: 'certificate',
    });
  }
  if (now < Date.parse(certificate.validFrom) || now > Date.parse(certificate.validTo)) {
    const span = `${certificate.validFrom} to ${certificate.validTo}`;
    throw new KeyError(`it is valid from ${span} only`, { step: STEP, peer: 'certificate' });
  }
}
