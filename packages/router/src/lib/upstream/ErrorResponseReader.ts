import { AttemptStatus } from '@apricotrill/policy';
import type { AnswerHead, AnswerReader } from './ResponseReader.js';
import type { AttemptResult } from './Attempt.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Bytes of an error answer that go into the log, and to the caller when the fault is its own. */
const MAX_DETAIL = 300;

/** Whether the replica says, in the documented way, that it did not run the request. */
function isRefusal({ headers }: AnswerHead): boolean {
  return headers['x-outcome'] === 'not-run';
}

/**
 * Reads an answer that is not a success. Only the documented refusal proves that nothing ran, and
 * its head proves it: a refusal whose body never comes is a refusal still. Any other status is the
 * replica's own failure.
 *
 * @internal
 */
export class FailureReader implements AnswerReader {
  private head: AnswerHead | undefined;

  private text = '';

  private readonly decoder = new TextDecoder();

  onHead(head: AnswerHead): AttemptResult | undefined {
    this.head = head;
    return isRefusal(head) ? this.getResult(AttemptStatus.Refused) : undefined;
  }

  onBody(bytes: Buffer): AttemptResult | undefined {
    this.text += this.decoder.decode(bytes, { stream: true });
    return this.text.length < MAX_DETAIL ? undefined : this.getResult(AttemptStatus.Errored);
  }

  onEnd(): AttemptResult {
    return this.getResult(AttemptStatus.Errored);
  }

  onBreak(): AttemptResult {
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
      detail: `status ${status}: ${this.text.slice(0, MAX_DETAIL)}`,
    };
  }
}
