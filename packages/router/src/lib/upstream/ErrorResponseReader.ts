import { AttemptStatus } from '@apricotrill/policy';
import type { ResponseHead, ResponseReader } from './ResponseReader.js';
import type { AttemptResult } from './Attempt.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Characters of an error response that are logged, and sent to the caller if its request is invalid. */
const MAX_DETAIL_CHARACTERS = 300;

/** Whether the replica reports, with the documented header, that it did not run the request. */
function isRefusal({ headers }: ResponseHead): boolean {
  return headers['x-outcome'] === 'not-run';
}

/**
 * Reads a response that is not a success. Only the documented refusal proves that nothing was run, and
 * its headers suffice: a refusal whose body never arrives is still a refusal. Any other status is a
 * failure of the replica.
 *
 * @internal
 */
export class ErrorResponseReader implements ResponseReader {
  private head: ResponseHead | undefined;

  private text = '';

  private readonly decoder = new TextDecoder();

  onHead(head: ResponseHead): AttemptResult | undefined {
    this.head = head;
    return isRefusal(head) ? this.getResult(AttemptStatus.Refused) : undefined;
  }

  onBody(bytes: Buffer): AttemptResult | undefined {
    this.text += this.decoder.decode(bytes, { stream: true });
    return this.text.length < MAX_DETAIL_CHARACTERS
      ? undefined
      : this.getResult(AttemptStatus.Errored);
  }

  onEnd(): AttemptResult {
    return this.getResult(AttemptStatus.Errored);
  }

  onConnectionLost(): AttemptResult {
    return this.getResult(AttemptStatus.Errored);
  }

  private getResult(end: AttemptStatus): AttemptResult {
    const { status = 0, headers = {} } = this.head ?? {};
    const retryAfter = Number(headers['retry-after']);
    return {
      end,
      status,
      retryAfter: Number.isFinite(retryAfter) ? retryAfter * MILLISECONDS_PER_SECOND : undefined,
      leaving: headers['x-leaving'] === 'true',
      detail: `status ${status}: ${this.text.slice(0, MAX_DETAIL_CHARACTERS)}`,
    };
  }
}
