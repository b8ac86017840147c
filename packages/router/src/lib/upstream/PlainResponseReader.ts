import { AttemptStatus } from '@apricotrill/policy';
import { routerOptions } from '../options.js';
import type { AnswerHead, AnswerReader } from './ResponseReader.js';
import type { AttemptResult } from './Attempt.js';
import { FailureReader } from './ErrorResponseReader.js';

/**
 * A whole answer of a plain service.
 *
 * @internal
 */
export interface PlainAnswer {
  status: number;
  contentType: string;
  body: Buffer;
}

/** Statuses from here on say that the service itself failed. */
const SERVER_ERROR = 500;

/**
 * Reads the answer of a plain service. The whole answer is held back until its end, so that a
 * connection that breaks half-way costs a retry, not half an answer.
 *
 * @internal
 */
export class PlainAnswerReader implements AnswerReader {
  private readonly attemptName: string;

  private readonly onAnswer: (answer: PlainAnswer) => void;

  private readonly chunks: Uint8Array[] = [];

  private size = 0;

  private head: AnswerHead | undefined;

  private failure: FailureReader | undefined;

  /**
   * @param attemptName - what the answer is called when the service names it
   * @param onAnswer - told the whole answer
   */
  constructor(attemptName: string, onAnswer: (answer: PlainAnswer) => void) {
    this.attemptName = attemptName;
    this.onAnswer = onAnswer;
  }

  onHead(head: AnswerHead): AttemptResult | undefined {
    const { headers, status } = head;
    const name = headers['x-request-id'];
    if (name !== undefined && name !== this.attemptName) {
      return { end: AttemptStatus.Broken, detail: 'the answer belongs to another request' };
    }
    this.head = head;
    if (headers['x-outcome'] === 'not-run' || status >= SERVER_ERROR) {
      this.failure = new FailureReader();
      return this.failure.onHead(head);
    }
    return undefined;
  }

  onBody(bytes: Buffer): AttemptResult | undefined {
    if (this.failure !== undefined) {
      return this.failure.onBody(bytes);
    }
    this.size += bytes.length;
    this.chunks.push(bytes);
    return this.size > routerOptions.maxPlainAnswer
      ? { end: AttemptStatus.Errored, status: this.head?.status, detail: 'the answer is too large' }
      : undefined;
  }

  onEnd(): AttemptResult {
    if (this.failure !== undefined) {
      return this.failure.onEnd();
    }
    const { status, headers } = this.head!;
    const contentType = headers['content-type'] ?? 'application/octet-stream';
    this.onAnswer({ status, contentType, body: Buffer.concat(this.chunks) });
    return { end: AttemptStatus.Completed, status, detail: 'whole' };
  }

  onBreak(): AttemptResult | undefined {
    return this.failure?.onBreak();
  }
}
