import { exhaustiveSwitchError, StepError } from '@apricotrill/utils';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import { createClaimCounters } from '../ClaimCounters.js';
import type { ClaimCounters } from '../ClaimCounters.js';
import type { ClaimEvent } from '../ClaimEvent.js';
import { createClaimOptions } from '../ClaimOptions.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import { RefusalReason } from '../claimTypes.js';
import type {
  ClaimResult,
  ClaimHandle,
  ClaimMember,
  ClaimOutcome,
  ClaimQuery,
} from '../claimTypes.js';
import { ClaimWitness } from '../ClaimWitness/ClaimWitness.js';
import { truncateOutcome } from '../truncateOutcome.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';
import { SealRole } from '../messages.js';
import { isSameProcess } from '../placement.js';
import { ClaimClient } from './ClaimClient.js';
import type { ClaimSettings, HandOverResult } from './ClaimSettings.js';
import { LayoutGuard } from './LayoutGuard.js';
import { OutcomeReporter } from './OutcomeReporter.js';
import { OwnerRouter } from './OwnerRouter.js';
import { ShardRunner } from './ShardRunner.js';
import { StoreGateway } from './StoreGateway.js';
import { withTimeout } from './timing.js';

type SealMessage = Extract<ClaimMessage, { kind: 'seal' }>;

/**
 * One daemon's part in claims: entry daemon, owner and witness at once.
 *
 * @example
 * ```ts
 * const claims = new ClaimManager({ self, clock, store, transport, getMembers });
 * const result = await claims.claim({ workspace, key, fingerprint, requestId });
 * if (result.kind === 'granted') {
 *   const outcome = await run(request);
 *   claims.recordOutcome(result.handle, outcome);
 * }
 * ```
 * @public
 */
export class ClaimManager {
  private readonly options: ClaimOptions;

  private readonly counters = createClaimCounters();

  private readonly runners: ShardRunner[];

  private readonly witness: ClaimWitness;

  private readonly layout: LayoutGuard;

  private readonly reporter: OutcomeReporter;

  private readonly client: ClaimClient;

  private readonly onEvent: (event: ClaimEvent) => void;

  private rebalanceTimer: Timer | undefined;

  private maintenanceTimer: Timer | undefined;

  private isDisposed = false;

  constructor(private readonly settings: ClaimSettings) {
    const { self, clock } = settings;
    const options = createClaimOptions(settings.options);
    this.options = options;
    this.onEvent = settings.onEvent ?? (() => {});
    const store = new StoreGateway(settings.store, clock, options, this.counters, (key) =>
      this.onEvent({ kind: 'object-unreadable', key }),
    );
    this.layout = new LayoutGuard(store, options.shards, (found) =>
      this.handleLayoutMismatch(found),
    );
    this.witness = new ClaimWitness(self.incarnation, options);
    let lastId = 0;
    const createId = () => {
      lastId += 1;
      return lastId;
    };
    const { counters, layout, onEvent } = this;
    const callPeer = (peer: ClaimMember, message: ClaimMessage, timeout = options.callTimeout) =>
      this.callPeer(peer, message, timeout);
    const router = new OwnerRouter(clock, options, () => this.getMembers(), callPeer);
    this.reporter = new OutcomeReporter(clock, options, router);
    const { reporter } = this;
    const sharedSettings = { self, clock, options, createId, onEvent };
    this.client = new ClaimClient({ ...sharedSettings, router, reporter });
    const runnerContext = { ...sharedSettings, store, layout, counters, callPeer };
    const members = this.getMembers();
    this.runners = Array.from(
      { length: options.shards },
      (_, shard) => new ShardRunner(shard, runnerContext, members),
    );
    this.handleMembersChange();
    this.scheduleMaintenance();
  }

  /** What the claims of this daemon have cost since it started. */
  getCounters(): ClaimCounters {
    return { ...this.counters };
  }

  /** The shards that this daemon owns now. */
  getOwnedShards(): number[] {
    return this.runners.flatMap((runner, shard) => (runner.isOwned ? [shard] : []));
  }

  /**
   * Claims the right to run a request. Ends within the claim timeout. The request may be dispatched
   * only on `granted`, and only before the deadline of the handle.
   *
   * @example
   * ```ts
   * const result = await claims.claim({ workspace, key, fingerprint, requestId });
   * ```
   */
  async claim(query: ClaimQuery): Promise<ClaimResult> {
    if (this.isDisposed || this.layout.isMismatch) {
      const reason = this.isDisposed ? RefusalReason.Leaving : RefusalReason.LayoutMismatch;
      const retryAfter = this.options.maxRetryDelay;
      return { kind: 'unavailable', retryAfter, reason, isProvedNotRun: false };
    }
    return this.client.claim(query);
  }

  /**
   * Reports how a granted request ended. Callers need not wait for the promise, which resolves once
   * the store has the outcome. `not-run` requires proof, because it releases the key at once.
   *
   * @example
   * ```ts
   * claims.recordOutcome(handle, { kind: 'answered', answer });
   * ```
   */
  recordOutcome(handle: ClaimHandle, outcome: ClaimOutcome): Promise<void> {
    return this.reporter.report(handle, truncateOutcome(outcome, this.options.maxResponseSize));
  }

  /**
   * Handles a message that a peer sent through its transport.
   *
   * @param from - the id of the peer
   * @throws StepError when this daemon has been disposed of; the peer then asks another one
   * @example
   * ```ts
   * mesh.handle('claims', (from, message: ClaimMessage) => claims.handle(from, message));
   * ```
   */
  async handle(from: string, message: ClaimMessage): Promise<ClaimResponse> {
    const runner = this.runners[message.shard];
    if (this.isDisposed || runner === undefined) {
      throw new StepError('this daemon serves no such shard of claims', {
        step: 'claims',
        peer: from,
      });
    }
    switch (message.kind) {
      case 'claim':
      case 'settle':
        return runner.handleCall(message);
      case 'remember':
        return this.witness.handle(message, this.settings.clock.now());
      case 'seal':
        return this.handleSeal(from, message, runner);
      case 'take':
        runner.handle({ kind: 'take' });
        return { kind: 'noted' };
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  /** Must be called whenever the result of `getMembers` has changed. */
  handleMembersChange(): void {
    const members = this.getMembers();
    this.runners.forEach((runner) => runner.handle({ kind: 'members', members }));
    // Shards move only after a delay that further changes do not restart. Otherwise a member that
    // keeps leaving and rejoining would move them back and forth.
    this.rebalanceTimer ??= this.settings.clock.setTimer(this.options.rebalanceDelay, () => {
      this.rebalanceTimer = undefined;
      this.rebalance();
    });
  }

  /**
   * Hands all shards over to their next owners and waits until the store has the outcomes reported
   * so far. Call it on a graceful shutdown, after the last request has ended. Claims of this daemon
   * continue to work.
   *
   * @param timeout - how long to wait, in milliseconds; what is not done by then is left to the
   * other daemons, as after a crash
   * @example
   * ```ts
   * await claims.handOver(5000);
   * claims.dispose();
   * ```
   */
  async handOver(timeout: Milliseconds): Promise<HandOverResult> {
    this.runners.forEach((runner) => runner.handle({ kind: 'leave' }));
    const shards = Promise.all(this.runners.map((runner) => runner.waitUntilReleased()));
    const done = Promise.all([shards, this.reporter.flush()]);
    await withTimeout(this.settings.clock, timeout, done, undefined);
    const ownedShards = this.getOwnedShards().length;
    return { ownedShards, unreportedOutcomes: this.reporter.size };
  }

  /** Stops all activity at once. Calls of peers that are waiting end without a response. */
  dispose(): void {
    this.isDisposed = true;
    this.rebalanceTimer?.cancel();
    this.maintenanceTimer?.cancel();
    this.reporter.dispose();
    this.runners.forEach((runner) => runner.dispose());
  }

  private getMembers(): readonly ClaimMember[] {
    const { self, getMembers } = this.settings;
    const others = getMembers().filter(({ id }) => id !== self.id);
    return [self, ...others];
  }

  private rebalance(): void {
    this.runners.forEach((runner) => runner.handle({ kind: 'rebalance' }));
  }

  /** Periodically repeats what a lost message or an outage may have prevented. */
  private scheduleMaintenance(): void {
    const { clock } = this.settings;
    this.maintenanceTimer = clock.setTimer(this.options.verifyInterval, () => {
      this.witness.expire(clock.now());
      this.rebalance();
      this.scheduleMaintenance();
    });
  }

  private handleSeal(
    from: string,
    message: SealMessage,
    runner: ShardRunner,
  ): Promise<ClaimResponse> {
    const { shard, epoch, role, incarnation } = message;
    if (role === SealRole.Owner) {
      const isCurrentIncarnation = incarnation === this.settings.self.incarnation;
      return isCurrentIncarnation
        ? runner.handleCall({ kind: 'challenge', epoch })
        : Promise.resolve({ kind: 'gone' });
    }
    this.onEvent({ kind: 'epoch-sealed', shard, epoch, by: from });
    return Promise.resolve(this.witness.handle(message, this.settings.clock.now()));
  }

  private handleLayoutMismatch(found: number): void {
    this.onEvent({ kind: 'layout-mismatch', expected: this.options.shards, found });
  }

  private async callPeer(
    peer: ClaimMember,
    message: ClaimMessage,
    timeout: Milliseconds,
  ): Promise<ClaimResponse | undefined> {
    const { self, clock, transport } = this.settings;
    if (this.isDisposed) {
      return undefined;
    }
    if (isSameProcess(peer, self)) {
      // Deferred, because a shard must not be entered while it emits effects.
      return withTimeout(
        clock,
        timeout,
        Promise.resolve().then(() => this.handle(self.id, message)),
        undefined,
      );
    }
    this.counters.peerCalls += 1;
    return withTimeout(clock, timeout, transport.call(peer, message), undefined);
  }
}
