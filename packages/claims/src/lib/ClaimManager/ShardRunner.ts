import { exhaustiveSwitchError, StepError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { ClaimCounters } from '../ClaimCounters.js';
import type { ClaimEvent } from '../ClaimEvent.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import { ClaimShard } from '../ClaimShard/ClaimShard.js';
import { NO_ANSWER } from '../ClaimShard/shardMessages.js';
import type { ShardEffect, ShardInput } from '../ClaimShard/shardMessages.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';
import { getHeadKey, getSegmentPrefix } from '../ShardHead.js';
import type { LayoutGuard } from './LayoutGuard.js';
import type { StoreGateway } from './StoreGateway.js';

/** What the shard runners of a daemon share. */
export interface RunnerContext {
  self: ClaimMember;
  clock: Clock;
  options: ClaimOptions;
  store: StoreGateway;
  layout: LayoutGuard;
  counters: ClaimCounters;
  createId: () => number;
  onEvent: (event: ClaimEvent) => void;
  /** @returns undefined when the peer did not respond in time */
  callPeer: (peer: ClaimMember, message: ClaimMessage) => Promise<ClaimResponse | undefined>;
}

type WithoutCall<Input> = Input extends { call: number } ? Omit<Input, 'call'> : never;

/** An input that gets a response. */
type CallInput = WithoutCall<ShardInput>;

interface PendingCall {
  resolve: (response: ClaimResponse) => void;
  reject: (error: Error) => void;
}

/** Runs one shard: passes it inputs with the current time and performs its effects. */
export class ShardRunner {
  private readonly shard: ClaimShard;

  private readonly calls = new Map<number, PendingCall>();

  private timer: Timer | undefined;

  private timerAt: Milliseconds = Number.POSITIVE_INFINITY;

  private releaseListeners: (() => void)[] = [];

  /**
   * The last offer of the shard to a successor, until the successor responds or the call times out.
   */
  private lastOffer: Promise<void> = Promise.resolve();

  private isDisposed = false;

  constructor(
    private readonly index: number,
    private readonly context: RunnerContext,
    members: readonly ClaimMember[],
  ) {
    const { self, options, createId } = context;
    const emit = (effect: ShardEffect) => this.runEffect(effect);
    this.shard = new ClaimShard({ shard: index, self, options, emit, members, createId });
  }

  get isOwned(): boolean {
    return this.shard.isOwned;
  }

  /** Passes a claim, an outcome or a challenge to the shard and waits for its response. */
  handleCall(input: CallInput): Promise<ClaimResponse> {
    return new Promise((resolve, reject) => {
      const call = this.context.createId();
      this.calls.set(call, { resolve, reject });
      this.handle({ ...input, call });
    });
  }

  handle(input: ShardInput): void {
    if (this.isDisposed) {
      return;
    }
    this.shard.handle(input, this.context.clock.now());
    if (!this.shard.isOwned) {
      this.releaseListeners.forEach((resolve) => resolve());
      this.releaseListeners = [];
    }
  }

  /**
   * Resolves once this daemon does not own the shard and the successor has been notified. If the
   * process ended before the offer was sent, the shard would have no owner until another daemon
   * checks it, and claims would be refused in the meantime.
   */
  async waitUntilReleased(): Promise<void> {
    if (this.shard.isOwned) {
      await new Promise<void>((resolve) => {
        this.releaseListeners.push(resolve);
      });
    }
    await this.lastOffer;
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
    const peer = this.context.self.id;
    const error = new StepError('the claims of this daemon have been disposed of', {
      step: 'claims',
      peer,
    });
    this.calls.forEach(({ reject }) => reject(error));
    this.calls.clear();
  }

  private runEffect(effect: ShardEffect): void {
    const { context } = this;
    switch (effect.kind) {
      case 'reply':
        this.calls.get(effect.call)?.resolve(effect.response);
        this.calls.delete(effect.call);
        break;
      case 'read-head':
        this.readHead(effect.id);
        break;
      case 'read-segments':
        this.readSegments(effect.id);
        break;
      case 'write':
        this.write(effect);
        break;
      case 'delete':
        // A segment that is left behind only takes up space.
        context.store.delete(effect.key, effect.expectedVersion);
        break;
      case 'call-peer':
        this.startCall(effect);
        break;
      case 'wake':
        this.setTimer(effect.at);
        break;
      case 'committed':
        context.counters.commits += 1;
        context.counters.committedClaims += effect.claims;
        break;
      case 'decision':
        context.onEvent(effect.event);
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private async readHead(id: number): Promise<void> {
    const { layout, store } = this.context;
    const isOwnLayout = await layout.check();
    const result = isOwnLayout ? await store.get(getHeadKey(this.index)) : NO_ANSWER;
    this.handle({ kind: 'head-read', id, result });
  }

  private async readSegments(id: number): Promise<void> {
    const result = await this.context.store.list(getSegmentPrefix(this.index));
    this.handle({ kind: 'segments-read', id, result });
  }

  private async write(effect: Extract<ShardEffect, { kind: 'write' }>): Promise<void> {
    const { id, key, value, expectedVersion } = effect;
    const result = await this.context.store.put(key, value, expectedVersion);
    this.handle({ kind: 'written', id, result });
  }

  private startCall(effect: Extract<ShardEffect, { kind: 'call-peer' }>): void {
    const call = this.callPeer(effect);
    if (effect.message.kind === 'take') {
      this.lastOffer = call;
    }
  }

  private async callPeer(effect: Extract<ShardEffect, { kind: 'call-peer' }>): Promise<void> {
    const { id, peer, message } = effect;
    this.context.counters.witnessCalls += message.kind === 'remember' ? 1 : 0;
    const response = await this.context.callPeer(peer, message);
    this.handle({ kind: 'peer-responded', id, response });
  }

  private setTimer(at: Milliseconds): void {
    if (at >= this.timerAt) {
      return;
    }
    this.timer?.cancel();
    this.timerAt = at;
    const { clock } = this.context;
    this.timer = clock.setTimer(at - clock.now(), () => {
      this.timerAt = Number.POSITIVE_INFINITY;
      this.handle({ kind: 'wake' });
    });
  }
}
