import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimEvent, ClaimTry } from '../ClaimEvent.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import { RefusalReason } from '../claimTypes.js';
import type { ClaimResult, ClaimHandle, ClaimMember, ClaimQuery } from '../claimTypes.js';
import { getClaimName, getClaimShard } from '../placement.js';
import type { OutcomeReporter } from './OutcomeReporter.js';
import type { OwnerRoute } from './OwnerRouter.js';
import type { OwnerReply, OwnerSearch } from './OwnerSearch.js';

/** A search that goes in circles must not make its log line long. */
const MOST_TRIES_LOGGED = 8;

/** What a seeker needs of the daemon around it. */
export interface SeekerSurroundings {
  self: ClaimMember;
  clock: Clock;
  options: ClaimOptions;
  route: OwnerRoute;
  reporter: OutcomeReporter;
  createId: () => number;
  onDecision: (decision: ClaimEvent) => void;
}

/** The entry daemon's side of a claim: asks the owner, and gives up cleanly. */
export class ClaimSeeker {
  constructor(private readonly around: SeekerSurroundings) {}

  async seek(query: ClaimQuery): Promise<ClaimResult> {
    const { clock, options, route } = this.around;
    const startedAt = clock.now();
    const handle = this.createHandle(query, startedAt);
    const { shard, request } = handle;
    const until = startedAt + options.claimTimeout;
    const message = { kind: 'claim' as const, shard, request };
    const search = await route.ask(shard, message, until, options.callTimeout);
    const answer = this.getAnswer(search, handle, startedAt);
    this.report(answer, handle, search.tries, startedAt);
    return answer;
  }

  private createHandle(query: ClaimQuery, startedAt: Milliseconds): ClaimHandle {
    const { self, options, createId } = this.around;
    const name = getClaimName(query.workspace, query.key);
    const { fingerprint, requestId } = query;
    const { id, incarnation } = self;
    const claim = `${id}.${incarnation}.${createId()}`;
    return {
      shard: getClaimShard(name, options.shards),
      request: { name, fingerprint, requestId, claim, holder: { id, incarnation } },
      deadline: startedAt + options.retention,
    };
  }

  private getAnswer(
    search: OwnerSearch,
    handle: ClaimHandle,
    startedAt: Milliseconds,
  ): ClaimResult {
    const { clock, options, reporter } = this.around;
    // A frozen process reads a grant long after it was sent, when the key may have expired and been
    // granted again. So a grant counts only within the time that owners and witnesses allow for.
    const isLate = clock.now() - startedAt > options.claimTimeout;
    const { reply } = search;
    if (reply?.kind === 'answer' && reply.answer.kind !== 'granted') {
      return reply.answer;
    }
    if (reply?.kind === 'answer' && !isLate) {
      return { kind: 'granted', handle };
    }
    if (search.isUncertain || isLate || (reply?.kind === 'refused' && reply.held)) {
      // The claim may be remembered although this daemon never uses it: give the key back.
      reporter.report(handle, { kind: 'not-run' });
    }
    // While the deadline isn't over, the key was this try's until it gave it back just now.
    const isOurs = reply?.kind === 'answer' && clock.now() < handle.deadline;
    return this.getRefusal(reply, search.isUncertain, isOurs);
  }

  private getRefusal(
    reply: OwnerReply | undefined,
    isUncertain: boolean,
    isProvedNotRun: boolean,
  ): ClaimResult {
    if (reply?.kind === 'refused') {
      const { reason, retryAfter } = reply;
      return { kind: 'unavailable', retryAfter, reason, isProvedNotRun };
    }
    const retryAfter = this.around.options.retryDelayLimit;
    const hasHeardLate = isUncertain || isProvedNotRun;
    const reason = hasHeardLate ? RefusalReason.Timeout : RefusalReason.NoOwner;
    return { kind: 'unavailable', retryAfter, reason, isProvedNotRun };
  }

  private report(
    answer: ClaimResult,
    { shard, request }: ClaimHandle,
    tries: readonly ClaimTry[],
    startedAt: Milliseconds,
  ): void {
    const { clock, onDecision } = this.around;
    const { requestId } = request;
    const reason = answer.kind === 'unavailable' ? answer.reason : undefined;
    const spent = clock.now() - startedAt;
    onDecision({
      kind: 'claim-ended',
      shard,
      requestId,
      answer: answer.kind,
      reason,
      calls: tries.length,
      spent,
      tries: tries.length > 1 || reason !== undefined ? tries.slice(-MOST_TRIES_LOGGED) : undefined,
    });
  }
}
