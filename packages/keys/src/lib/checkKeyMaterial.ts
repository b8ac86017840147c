import { X509Certificate, createPrivateKey } from 'node:crypto';
import type { Milliseconds } from '@apricotrill/utils';
import { KeyError } from './KeyError.js';
import type { KeyMaterial } from './KeyMaterial.js';

const STEP = 'keys';

function parse<Value>(partName: string, parsePart: () => Value): Value {
  try {
    return parsePart();
  } catch (cause) {
    throw new KeyError(`no valid ${partName} in PEM format`, { step: STEP, peer: partName, cause });
  }
}

/**
 * Rejects keys that would disconnect a daemon from its peers: partly written files, a certificate
 * that does not match the private key, or a certificate that is expired or not yet valid.
 *
 * @param keys - the contents of the files
 * @param now - milliseconds since the epoch
 * @throws KeyError that states which file is wrong and why
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
    throw new KeyError('certificate does not match the private key', {
      step: STEP,
      peer: 'certificate',
    });
  }
  if (now < Date.parse(certificate.validFrom) || now > Date.parse(certificate.validTo)) {
    const validity = `${certificate.validFrom} to ${certificate.validTo}`;
    throw new KeyError(`certificate is valid only from ${validity}`, {
      step: STEP,
      peer: 'certificate',
    });
  }
}
