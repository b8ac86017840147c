import type { ClaimResult, ClaimHandle, ClaimManager, StoredResponse } from '@apricotrill/claims';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import { isUtf8 } from 'node:buffer';
import { routerOptions } from '../options.js';
import type { ClaimEnd, ClaimPort, ClaimRequest, ClaimVerdict } from '../pipeline/ClaimPort.js';
import type { PlainAnswer } from '../upstream/runPlainAttempt.js';

const CONTENT_TYPE = 'content-type';
const ENCODING = 'x-kept-encoding';
const BASE64 = 'base64';

function getStoredAnswer({ status, contentType, body }: PlainAnswer): StoredResponse {
  const headers: Record<string, string> = { [CONTENT_TYPE]: contentType };
  if (isUtf8(body)) {
    return { kind: 'whole', status, headers, body: body.toString('utf8') };
  }
  headers[ENCODING] = BASE64;
  return { kind: 'whole', status, headers, body: body.toString(BASE64) };
}

function getVerdictOfAnswer(answer: StoredResponse): ClaimVerdict {
  if (answer.kind === 'status-only') {
    return { kind: 'answer-not-kept', status: answer.status };
  }
  const encoding = answer.headers[ENCODING] === BASE64 ? BASE64 : 'utf8';
  const contentType = answer.headers[CONTENT_TYPE] ?? 'application/octet-stream';
  const body = Buffer.from(answer.body, encoding);
  return { kind: 'answered', answer: { status: answer.status, contentType, body } };
}

function settle(claims: ClaimManager, handle: ClaimHandle, end: ClaimEnd): Promise<void> {
  switch (end.kind) {
    case 'answered':
      return claims.recordOutcome(handle, {
        kind: 'answered',
        answer: getStoredAnswer(end.answer),
      });
    case 'released':
      return claims.recordOutcome(handle, { kind: 'not-run' });
    case 'unknown':
      return claims.recordOutcome(handle, { kind: 'unknown' });
    default:
      throw exhaustiveSwitchError(end);
  }
}

/** The claims go on trying to report an outcome; nothing here waits for it. */
function settleSoon(claims: ClaimManager, handle: ClaimHandle, end: ClaimEnd): void {
  settle(claims, handle, end).catch(() => undefined);
}

/**
 * Speaks to the claims as the request path does.
 *
 * @internal
 */
export class ClaimAdapter implements ClaimPort {
  private readonly clock: Clock;

  private claims: ClaimManager | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Claims can be asked for from now on. */
  attach(claims: ClaimManager): void {
    this.claims = claims;
  }

  async claim(request: ClaimRequest): Promise<ClaimVerdict> {
    if (this.claims === undefined) {
      const retryAfter = routerOptions.inProgressRetryAfter;
      return { kind: 'unavailable', retryAfter, isProvedNotRun: false };
    }
    return this.getVerdict(this.claims, await this.claims.claim(request));
  }

  private getVerdict(claims: ClaimManager, answer: ClaimResult): ClaimVerdict {
    switch (answer.kind) {
      case 'granted':
        return this.getGrant(claims, answer.handle);
      case 'settled':
        return getVerdictOfAnswer(answer.answer);
      case 'in-progress':
      case 'mismatch':
      case 'unknown':
        return { kind: answer.kind };
      case 'unavailable':
        return answer;
      default:
        throw exhaustiveSwitchError(answer);
    }
  }

  /**
   * A grant that this process held through a long pause is void: the key may have been forgotten
   * and granted again, and have run. Nothing was dispatched for this one, so it goes back as not run.
   */
  private getGrant(claims: ClaimManager, handle: ClaimHandle): ClaimVerdict {
    if (this.clock.now() >= handle.deadline) {
      settleSoon(claims, handle, { kind: 'released' });
      return { kind: 'unavailable', retryAfter: 0, isProvedNotRun: false };
    }
    return { kind: 'granted', end: (end) => settleSoon(claims, handle, end) };
  }
}
