import type { IncomingHttpHeaders } from 'node:http';
import type { AttemptResult } from './Attempt.js';

/**
 * The head of a replica's answer.
 *
 * @internal
 */
export interface AnswerHead {
  status: number;
  headers: IncomingHttpHeaders;
}

/**
 * Reads the answer of one attempt as it comes. Each step may return how the attempt ended; nothing
 * that comes after that is read.
 *
 * @internal
 */
export interface AnswerReader {
  onHead(head: AnswerHead): AttemptResult | undefined;
  onBody(bytes: Buffer): AttemptResult | undefined;
  /** The last byte has come. */
  onEnd(): AttemptResult;
  /** The rest will never come: what the part that came proves, if anything. */
  onBreak(detail: string): AttemptResult | undefined;
}

/**
 * What a reader may do to the connection it reads from.
 *
 * @internal
 */
export interface AnswerFlow {
  /** The answer went on: the silence limit starts anew. */
  noteProgress(): void;
  /** Reads no further until the promise resolves; waiting for the caller isn't silence. */
  waitFor(ready: Promise<void>): void;
}
