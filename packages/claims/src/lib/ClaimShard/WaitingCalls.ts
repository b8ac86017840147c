import type { Milliseconds } from '@apricotrill/utils';
import { AnswerSource } from '../ClaimEvent.js';
import { RefusalReason } from '../claimTypes.js';
import type { ShardCall, ShardContext } from './shardMessages.js';

/** A call that is answered once a mutation is durable. */
export interface WaitingCall {
  input: ShardCall;
  /** The mutation it waits for. */
  sequence: number;
  since: Milliseconds;
}

/** The calls whose response waits for the store or the witness. */
export class WaitingCalls {
  private calls: WaitingCall[] = [];

  constructor(private readonly context: ShardContext) {}

  /** Start time of the claim that has waited longest; infinite when none waits. */
  getOldestClaim(): Milliseconds {
    const claims = this.calls.filter(({ input }) => input.kind === 'claim');
    return Math.min(...claims.map(({ since }) => since));
  }

  getNextExpiry(): Milliseconds {
    const first = this.calls[0];
    return first === undefined
      ? Number.POSITIVE_INFINITY
      : first.since + this.context.options.claimTimeout;
  }

  add(call: WaitingCall): void {
    this.calls.push(call);
  }

  drain(): ShardCall[] {
    const drained = this.calls.map(({ input }) => input);
    this.calls = [];
    return drained;
  }

  /**
   * Answers the calls whose mutation is durable: a claim once the store or the witness has it, an
   * outcome only once the store has it, so that the reporting daemon repeats its report until then.
   */
  release(committed: number, witnessed: number, epoch: number): void {
    const durable = Math.max(committed, witnessed);
    const remaining: WaitingCall[] = [];
    for (const call of this.calls) {
      const { input, sequence } = call;
      if (input.kind === 'claim' && sequence <= durable) {
        const source = sequence <= committed ? AnswerSource.Store : AnswerSource.Witness;
        this.grant(input, source, epoch);
      } else if (input.kind === 'settle' && sequence <= committed) {
        const response = { kind: 'settled' as const, durable: true };
        this.context.emit({ kind: 'reply', call: input.call, response });
      } else {
        remaining.push(call);
      }
    }
    this.calls = remaining;
  }

  /** Answers the calls that have timed out. Their mutations may still become durable. */
  expire(now: Milliseconds): void {
    while (this.getNextExpiry() <= now) {
      const { input } = this.calls.shift()!;
      this.context.emit({
        kind: 'reply',
        call: input.call,
        response:
          input.kind === 'claim'
            ? {
                kind: 'refused',
                reason: RefusalReason.Timeout,
                retryAfter: this.context.options.maxRetryDelay,
                held: true,
              }
            : { kind: 'settled', durable: false },
      });
    }
  }

  private grant(
    input: Extract<ShardCall, { kind: 'claim' }>,
    source: AnswerSource,
    epoch: number,
  ): void {
    const { shard, emit } = this.context;
    const { requestId, holder } = input.request;
    const answer = { kind: 'granted' as const };
    emit({ kind: 'reply', call: input.call, response: { kind: 'answer', answer } });
    const fields = { shard, epoch, requestId, holder: holder.id, answer: answer.kind, source };
    emit({ kind: 'decision', event: { kind: 'claim-answered', ...fields } });
  }
}
