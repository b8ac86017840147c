import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimResult, ClaimHandle, ClaimOutcome } from '../lib/claimTypes.js';
import type { TestDaemon } from './TestDaemon.js';

/** A claim that a caller made, with its result. */
interface Invocation {
  key: string;
  fingerprint: string;
  result?: ClaimResult;
}

/** A grant. From here on, the request must be assumed to run. */
export interface Grant {
  key: string;
  fingerprint: string;
  daemon: TestDaemon;
  handle: ClaimHandle;
  at: Milliseconds;
  outcome?: ClaimOutcome;
}

/** The oracle of the fuzz test: records what callers saw and checks each result. */
export class ClaimHistory {
  readonly grants: Grant[] = [];

  private readonly invocations: Invocation[] = [];

  constructor(private readonly retention: Milliseconds) {}

  invoke(key: string, fingerprint: string): Invocation {
    const invocation = { key, fingerprint };
    this.invocations.push(invocation);
    return invocation;
  }

  /** Checks a result, and records a grant. @throws Error naming the guarantee that is broken */
  recordResult(
    invocation: Invocation,
    result: ClaimResult,
    daemon: TestDaemon,
    now: Milliseconds,
  ): void {
    Object.assign(invocation, { result });
    switch (result.kind) {
      case 'granted':
        this.recordGrant(invocation, result.handle, daemon, now);
        break;
      case 'settled':
        this.checkSettled(invocation, result);
        break;
      case 'mismatch':
        this.checkMismatch(invocation);
        break;
      default:
        break;
    }
  }

  private recordGrant(
    { key, fingerprint }: Invocation,
    handle: ClaimHandle,
    daemon: TestDaemon,
    at: Milliseconds,
  ): void {
    const other = this.grants.find(
      (grant) =>
        grant.key === key && grant.outcome?.kind !== 'not-run' && at - grant.at < this.retention,
    );
    if (other !== undefined) {
      const spans = `${other.handle.request.claim} at ${other.at}, ${handle.request.claim} at ${at}`;
      throw new Error(`${key} was granted twice: ${spans}`);
    }
    this.grants.push({ key, fingerprint, daemon, handle, at });
  }

  private checkSettled(
    { key, fingerprint }: Invocation,
    { requestId, answer }: Extract<ClaimResult, { kind: 'settled' }>,
  ): void {
    const grant = this.grants.find(({ handle }) => handle.request.requestId === requestId);
    const { outcome } = grant ?? {};
    const expected = outcome?.kind === 'answered' ? JSON.stringify(outcome.answer) : undefined;
    const isOfKey = grant?.key === key && grant.fingerprint === fingerprint;
    if (!isOfKey || expected !== JSON.stringify(answer)) {
      throw new Error(`${key} was answered with the response to ${requestId}`);
    }
  }

  private checkMismatch({ key, fingerprint }: Invocation): void {
    const hasOther = this.invocations.some(
      (other) => other.key === key && other.fingerprint !== fingerprint,
    );
    if (!hasOther) {
      throw new Error(`${key} was reported as a mismatch but has had only one fingerprint`);
    }
  }
}
