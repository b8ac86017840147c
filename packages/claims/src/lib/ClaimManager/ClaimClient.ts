import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimEvent, OwnerCall } from '../ClaimEvent.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import { RefusalReason } from '../claimTypes.js';
import type { ClaimResult, ClaimHandle, ClaimMember, ClaimQuery } from '../claimTypes.js';
import { getClaimName, getClaimShard } from '../placement.js';
import type { OutcomeReporter } from './OutcomeReporter.js';
import type { OwnerRouter } from './OwnerRouter.js';
import type { OwnerSearchResponse, OwnerSearch } from './OwnerSearch.js';

/** Limits the length of a log line when a search runs in circles. */
const MAX_LOGGED_CALLS = 8;

/** What a client needs from its daemon. */
export interface ClaimClientSettings {
  self: ClaimMember;
  clock: Clock;
  options: ClaimOptions;
  router: OwnerRouter;
  reporter: OutcomeReporter;
  createId: () => number;
  onEvent: (event: ClaimEvent) => void;
}

/** The entry daemon's side of a claim: asks the owner, and releases the key if it gives up. */
export class ClaimClient {
  constructor(private readonly settings: ClaimClientSettings) {}

  async claim(query: ClaimQuery): Promise<ClaimResult> {
    const { clock, options, router } = this.settings;
    const startedAt = clock.now();
    const handle = this.createHandle(query, startedAt);
    const { shard, request } = handle;
    const deadline = startedAt + options.claimTimeout;
    const message = { kind: 'claim' as const, shard, request };
    const search = await router.send(shard, message, deadline, options.callTimeout);
    const result = this.getResult(search, handle, startedAt);
    this.emitEvent(result, handle, search.calls, startedAt);
    return result;
  }

  private createHandle(query: ClaimQuery, startedAt: Milliseconds): ClaimHandle {
    const { self, options, createId } = this.settings;
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

  private getResult(
    search: OwnerSearch,
    handle: ClaimHandle,
    startedAt: Milliseconds,
  ): ClaimResult {
    const { clock, options, reporter } = this.settings;
    // A process that was suspended may read a grant long after it was sent, when the key may have
    // expired and been granted to another. So a grant counts only within the time that owners and
    // witnesses allow for.
    const isLate = clock.now() - startedAt > options.claimTimeout;
    const { response } = search;
    if (response?.kind === 'answer' && response.answer.kind !== 'granted') {
      return response.answer;
    }
    if (response?.kind === 'answer' && !isLate) {
      return { kind: 'granted', handle };
    }
    if (search.isUncertain || isLate || (response?.kind === 'refused' && response.held)) {
      // The claim may be remembered although this daemon never uses it, so release the key.
      reporter.report(handle, { kind: 'not-run' });
    }
    // Before the deadline, the key belonged to this attempt until it was released just now.
    const isProvedNotRun = response?.kind === 'answer' && clock.now() < handle.deadline;
    return this.getRefusal(response, search.isUncertain, isProvedNotRun);
  }

  private getRefusal(
    response: OwnerSearchResponse | undefined,
    isUncertain: boolean,
    isProvedNotRun: boolean,
  ): ClaimResult {
    if (response?.kind === 'refused') {
      const { reason, retryAfter } = response;
      return { kind: 'unavailable', retryAfter, reason, isProvedNotRun };
    }
    const retryAfter = this.settings.options.maxRetryDelay;
    const hasTimedOut = isUncertain || isProvedNotRun;
    const reason = hasTimedOut ? RefusalReason.Timeout : RefusalReason.NoOwner;
    return { kind: 'unavailable', retryAfter, reason, isProvedNotRun };
  }

  private emitEvent(
    result: ClaimResult,
    { shard, request }: ClaimHandle,
    calls: readonly OwnerCall[],
    startedAt: Milliseconds,
  ): void {
    const { clock, onEvent } = this.settings;
    const { requestId } = request;
    const reason = result.kind === 'unavailable' ? result.reason : undefined;
    const spent = clock.now() - startedAt;
    onEvent({
      kind: 'claim-ended',
      shard,
      requestId,
      answer: result.kind,
      reason,
      calls: calls.length,
      spent,
      tries: calls.length > 1 || reason !== undefined ? calls.slice(-MAX_LOGGED_CALLS) : undefined,
    });
  }
}
