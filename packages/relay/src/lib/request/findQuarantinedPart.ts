import {
  getPartFingerprint,
  getSharedParts,
} from '../decide/quarantine/getFingerprints/getFingerprints.js';
import type { ReceivedRequest } from './ReceivedRequest.js';

/** Returns the ID of the prompt part with a quarantined fingerprint, if it is one of the request. */
export function findQuarantinedPart(
  { service, fields }: ReceivedRequest,
  fingerprint: string | undefined,
): string | undefined {
  const parts = fingerprint === undefined ? [] : getSharedParts(fields);
  return parts.find((part) => getPartFingerprint(service, part) === fingerprint)?.id;
}
