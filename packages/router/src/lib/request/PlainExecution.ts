import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from '../pipeline/Problem.js';
import { writeProblem } from '../pipeline/writeProblem.js';
import type { AttemptResult } from '../upstream/Attempt.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { runPlainAttempt } from '../upstream/runPlainAttempt.js';
import type { PlainResponse } from '../upstream/runPlainAttempt.js';
import type { DispatchedAttempt, RequestExecution } from './RequestExecution.js';

/**
 * Settings of a {@link PlainExecution}.
 *
 * @internal
 */
export interface PlainExecutionSettings {
  requestId: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** If false, each attempt gets its own connection, and there is no retry once it may have run. */
  repeatable: boolean;
  response: ServerResponse;
  connections: ReplicaConnections;
  clock: Clock;
}

/**
 * Sends a plain response to the caller.
 *
 * @example
 * ```ts
 * writePlainResponse(response, plainResponse, requestId);
 * ```
 * @internal
 */
export function writePlainResponse(
  response: ServerResponse,
  plainResponse: PlainResponse,
  requestId: string,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  response.writeHead(plainResponse.status, {
    'content-type': plainResponse.contentType,
    'content-length': plainResponse.body.length,
    'x-request-id': requestId,
  });
  response.end(plainResponse.body);
}

/**
 * Executes one plain request.
 *
 * @internal
 */
export class PlainExecution implements RequestExecution {
  private readonly settings: PlainExecutionSettings;

  private plainResponse: PlainResponse | undefined;

  constructor(settings: PlainExecutionSettings) {
    this.settings = settings;
  }

  async run(dispatched: DispatchedAttempt): Promise<AttemptResult> {
    const { repeatable, connections, clock } = this.settings;
    const { replica } = dispatched;
    const dispatcher = repeatable
      ? connections.getShared(replica)
      : connections.createDedicated(replica);
    const attempt = {
      ...this.settings,
      ...dispatched,
      onResponse: (plainResponse: PlainResponse) => this.acceptResponse(plainResponse, dispatched),
    };
    const result = await runPlainAttempt(dispatcher, attempt, clock);
    if (!repeatable) {
      dispatcher.destroy().catch(() => undefined);
    }
    return result;
  }

  complete(): void {
    if (this.plainResponse !== undefined) {
      writePlainResponse(this.settings.response, this.plainResponse, this.settings.requestId);
    }
  }

  fail(problem: Problem): void {
    writeProblem(this.settings.response, problem, this.settings.requestId);
  }

  getDeliveredTokens(): number {
    return this.plainResponse === undefined ? 0 : 1;
  }

  /** The complete response, once it has arrived; stored with a claim for retries with the same key. */
  getPlainResponse(): PlainResponse | undefined {
    return this.plainResponse;
  }

  private acceptResponse(plainResponse: PlainResponse, dispatched: DispatchedAttempt): void {
    if (!dispatched.signal.aborted && this.plainResponse === undefined) {
      this.plainResponse = plainResponse;
      dispatched.onProgress(1);
    }
  }
}
