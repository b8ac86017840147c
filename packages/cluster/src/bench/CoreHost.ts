import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import { ClusterCore } from '../lib/ClusterCore/ClusterCore.js';
import type { ClusterEvent } from '../lib/ClusterEvent.js';
import type { ClusterOptions } from '../lib/clusterOptions.js';
import type { CoreEffect } from '../lib/coreMessages.js';
import type { DaemonIdentity } from '../lib/Member.js';
import { getMeshAddress } from '../lib/Member.js';
import type { PeerAnswer, PeerRequest } from '../lib/messages.js';
import type { Carrier } from './SimulatedNetwork.js';
import type { StoreLink } from './SimulatedPlatform.js';

interface HostSettings {
  self: DaemonIdentity;
  clock: Clock;
  random: Random;
  options: ClusterOptions;
  seeds: string[];
  carrier: Carrier;
  store: StoreLink;
  /** Hands in what came over the network; at once when absent. */
  deliver?: (arrival: () => void) => void;
}

/** What a core told about besides its calls. */
export interface HostEvents {
  onDecision?: (decision: ClusterEvent) => void;
  onGeneration?: (generation: number) => void;
  onReplicaLeaving?: (replica: string) => void;
}

/** Runs one core in this process: carries its effects out on a carrier and a link to a store. */
export class CoreHost {
  readonly core: ClusterCore;

  readonly address: string;

  readonly clock: Clock;

  readonly startedAt: Milliseconds;

  events: HostEvents = {};

  private readonly replies = new Map<number, (answer: PeerAnswer) => void>();

  private lastRequestId = 0;

  private isRunning = false;

  constructor(private readonly settings: HostSettings) {
    const { self, clock, random, options, seeds } = settings;
    this.address = getMeshAddress(self);
    this.clock = clock;
    this.startedAt = clock.now();
    this.core = new ClusterCore({
      self,
      clock,
      random,
      options,
      seeds,
      emit: (effect) => this.carryOut(effect),
    });
  }

  get self(): DaemonIdentity {
    return this.settings.self;
  }

  get id(): string {
    return this.settings.self.id;
  }

  start(): void {
    this.isRunning = true;
    this.core.start();
  }

  /** Hands in what came over the network. */
  deliver(arrival: () => void): void {
    (this.settings.deliver ?? ((run) => run()))(arrival);
  }

  /** Takes a request from a peer. */
  receive(from: string, request: PeerRequest, reply: (answer: PeerAnswer) => void): void {
    if (this.isRunning) {
      this.lastRequestId += 1;
      this.replies.set(this.lastRequestId, reply);
      this.core.handle({ kind: 'request', requestId: this.lastRequestId, from, request });
    }
  }

  stop(): void {
    this.isRunning = false;
    this.core.dispose();
  }

  private carryOut(effect: CoreEffect): void {
    const { carrier, store } = this.settings;
    const { core } = this;
    switch (effect.kind) {
      case 'call':
        carrier.call(this, effect, (answer) => this.settle(effect.callId, answer));
        break;
      case 'reply':
        this.replies.get(effect.requestId)?.(effect.answer);
        this.replies.delete(effect.requestId);
        break;
      case 'members':
        break;
      case 'configuration':
        this.events.onGeneration?.(effect.inForce.manifest.generation);
        break;
      case 'replica-leaving':
        this.events.onReplicaLeaving?.(effect.replica);
        break;
      case 'decision':
        this.events.onDecision?.(effect.decision);
        break;
      case 'start-watch':
      case 'end-watch':
      case 'read-manifest':
      case 'read-parts':
      case 'read-instances':
        store.carryOut(effect, (message) => this.isRunning && core.handle(message));
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private settle(callId: number, answer: PeerAnswer | undefined): void {
    if (this.isRunning) {
      this.core.handle(
        answer === undefined ? { kind: 'call-failed', callId } : { kind: 'answer', callId, answer },
      );
    }
  }
}
