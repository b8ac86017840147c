import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from '../pipeline/Problem.js';
import { writeProblem } from '../pipeline/writeProblem.js';
import type { AttemptResult } from '../upstream/Attempt.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { runPlainAttempt } from '../upstream/runPlainAttempt.js';
import type { PlainAnswer } from '../upstream/runPlainAttempt.js';
import type { OrderedAttempt, RequestWork } from './RequestExecution.js';

/**
 * What a plain call is made of.
 *
 * @internal
 */
export interface PlainWorkParts {
  requestId: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** False: each attempt gets a connection of its own, and nothing is repeated once it may have run. */
  repeatable: boolean;
  response: ServerResponse;
  connections: ReplicaConnections;
  clock: Clock;
}

/**
 * Writes a plain answer to the caller.
 *
 * @example
 * ```ts
 * writePlainAnswer(response, answer, requestId);
 * ```
 * @internal
 */
export function writePlainAnswer(
  response: ServerResponse,
  answer: PlainAnswer,
  requestId: string,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'content-length': answer.body.length,
    'x-request-id': requestId,
  });
  response.end(answer.body);
}

/**
 * Carries one plain call through its attempts.
 *
 * @internal
 */
export class PlainWork implements RequestWork {
  private readonly parts: PlainWorkParts;

  private answer: PlainAnswer | undefined;

  constructor(parts: PlainWorkParts) {
    this.parts = parts;
  }

  async run(ordered: OrderedAttempt): Promise<AttemptResult> {
    const { repeatable, connections, clock } = this.parts;
    const { replica } = ordered;
    const dispatcher = repeatable
      ? connections.getShared(replica)
      : connections.createFresh(replica);
    const attempt = {
      ...this.parts,
      ...ordered,
      onAnswer: (answer: PlainAnswer) => this.take(answer, ordered),
    };
    const result = await runPlainAttempt(dispatcher, attempt, clock);
    if (!repeatable) {
      dispatcher.destroy().catch(() => undefined);
    }
    return result;
  }

  complete(): void {
    if (this.answer !== undefined) {
      writePlainAnswer(this.parts.response, this.answer, this.parts.requestId);
    }
  }

  fail(problem: Problem): void {
    writeProblem(this.parts.response, problem, this.parts.requestId);
  }

  getDelivered(): number {
    return this.answer === undefined ? 0 : 1;
  }

  /** The whole answer, once it has come; kept with a claim for a repeat of the key. */
  getAnswer(): PlainAnswer | undefined {
    return this.answer;
  }

  private take(answer: PlainAnswer, ordered: OrderedAttempt): void {
    if (!ordered.signal.aborted && this.answer === undefined) {
      this.answer = answer;
      ordered.onProgress(1);
    }
  }
}
