import type { ClaimResult, ClaimHandle, ClaimManager, StoredResponse } from '@apricotrill/claims';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import { isUtf8 } from 'node:buffer';
import { defaultRouterOptions } from '../options.js';
import type { ClaimEnd, ClaimPort, ClaimRequest, ClaimVerdict } from '../pipeline/ClaimPort.js';
import type { PlainResponse } from '../upstream/runPlainAttempt.js';

const CONTENT_TYPE_HEADER = 'content-type';
const ENCODING_HEADER = 'x-kept-encoding';
const BASE64 = 'base64';

function getStoredResponse({ status, contentType, body }: PlainResponse): StoredResponse {
  const headers: Record<string, string> = { [CONTENT_TYPE_HEADER]: contentType };
  if (isUtf8(body)) {
    return { kind: 'whole', status, headers, body: body.toString('utf8') };
  }
  headers[ENCODING_HEADER] = BASE64;
  return { kind: 'whole', status, headers, body: body.toString(BASE64) };
}

function getVerdictOfStoredResponse(response: StoredResponse): ClaimVerdict {
  if (response.kind === 'status-only') {
    return { kind: 'answer-not-kept', status: response.status };
  }
  const encoding = response.headers[ENCODING_HEADER] === BASE64 ? BASE64 : 'utf8';
  const contentType = response.headers[CONTENT_TYPE_HEADER] ?? 'application/octet-stream';
  const body = Buffer.from(response.body, encoding);
  return { kind: 'answered', answer: { status: response.status, contentType, body } };
}

function settle(claims: ClaimManager, handle: ClaimHandle, end: ClaimEnd): Promise<void> {
  switch (end.kind) {
    case 'answered':
      return claims.recordOutcome(handle, {
        kind: 'answered',
        answer: getStoredResponse(end.answer),
      });
    case 'released':
      return claims.recordOutcome(handle, { kind: 'not-run' });
    case 'unknown':
      return claims.recordOutcome(handle, { kind: 'unknown' });
    default:
      throw exhaustiveSwitchError(end);
  }
}

/** Records an outcome without waiting for it; the claim manager retries until it succeeds. */
function settleInBackground(claims: ClaimManager, handle: ClaimHandle, end: ClaimEnd): void {
  settle(claims, handle, end).catch(() => undefined);
}

/**
 * Adapts the claim manager to the interface of the request path.
 *
 * @internal
 */
export class ClaimAdapter implements ClaimPort {
  private readonly clock: Clock;

  private claims: ClaimManager | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Sets the claim manager; until then every claim is unavailable. */
  attach(claims: ClaimManager): void {
    this.claims = claims;
  }

  async claim(request: ClaimRequest): Promise<ClaimVerdict> {
    if (this.claims === undefined) {
      const retryAfter = defaultRouterOptions.inProgressRetryAfter;
      return { kind: 'unavailable', retryAfter, isProvedNotRun: false };
    }
    return this.getVerdict(this.claims, await this.claims.claim(request));
  }

  private getVerdict(claims: ClaimManager, result: ClaimResult): ClaimVerdict {
    switch (result.kind) {
      case 'granted':
        return this.getGrantedVerdict(claims, result.handle);
      case 'settled':
        return getVerdictOfStoredResponse(result.answer);
      case 'in-progress':
      case 'mismatch':
      case 'unknown':
        return { kind: result.kind };
      case 'unavailable':
        return result;
      default:
        throw exhaustiveSwitchError(result);
    }
  }

  /**
   * A grant whose deadline passed during a long pause of this process is void: the key may have
   * expired, been granted again, and its request may have run. Nothing was dispatched under this
   * grant, so it is released as not run.
   */
  private getGrantedVerdict(claims: ClaimManager, handle: ClaimHandle): ClaimVerdict {
    if (this.clock.now() >= handle.deadline) {
      settleInBackground(claims, handle, { kind: 'released' });
      return { kind: 'unavailable', retryAfter: 0, isProvedNotRun: false };
    }
    return { kind: 'granted', end: (end) => settleInBackground(claims, handle, end) };
  }
}
