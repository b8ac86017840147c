import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import { ClusterCore } from '../lib/ClusterCore/ClusterCore.js';
import type { ClusterEvent } from '../lib/ClusterEvent.js';
import type { ClusterOptions } from '../lib/clusterOptions.js';
import type { CoreEffect } from '../lib/coreMessages.js';
import type { DaemonIdentity } from '../lib/Member.js';
import { getMeshAddress } from '../lib/Member.js';
import type { PeerResponse, PeerRequest } from '../lib/messages.js';
import type { SimulatedNetwork } from './SimulatedNetwork.js';
import type { SimulatedPlatform } from './SimulatedPlatform.js';

interface CoreHostSettings {
  self: DaemonIdentity;
  clock: Clock;
  random: Random;
  options: ClusterOptions;
  seeds: string[];
  network: SimulatedNetwork;
  platform: SimulatedPlatform;
  /** Handles a message's arrival from the network; by default at once. */
  deliver?: (onArrival: () => void) => void;
}

/** Listeners for a core's effects other than calls. */
export interface CoreHostListeners {
  onEvent?: (decision: ClusterEvent) => void;
  onGeneration?: (generation: number) => void;
  onReplicaLeaving?: (replica: string) => void;
}

/** Runs one core in this process, and executes its effects on a simulated network and platform. */
export class CoreHost {
  readonly core: ClusterCore;

  readonly address: string;

  readonly clock: Clock;

  readonly startedAt: Milliseconds;

  listeners: CoreHostListeners = {};

  private readonly replies = new Map<number, (response: PeerResponse) => void>();

  private lastRequestId = 0;

  private isRunning = false;

  constructor(private readonly settings: CoreHostSettings) {
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
      emit: (effect) => this.executeEffect(effect),
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

  /** Handles a message's arrival from the network. */
  deliver(onArrival: () => void): void {
    (this.settings.deliver ?? ((run) => run()))(onArrival);
  }

  /** Handles a request from a peer. */
  receive(from: string, request: PeerRequest, reply: (response: PeerResponse) => void): void {
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

  private executeEffect(effect: CoreEffect): void {
    const { network, platform } = this.settings;
    const { core } = this;
    switch (effect.kind) {
      case 'call':
        network.call(this, effect, (response) => this.handleCallResult(effect.callId, response));
        break;
      case 'reply':
        this.replies.get(effect.requestId)?.(effect.response);
        this.replies.delete(effect.requestId);
        break;
      case 'members':
        break;
      case 'configuration':
        this.listeners.onGeneration?.(effect.snapshot.manifest.generation);
        break;
      case 'replica-leaving':
        this.listeners.onReplicaLeaving?.(effect.replica);
        break;
      case 'decision':
        this.listeners.onEvent?.(effect.event);
        break;
      case 'start-watch':
      case 'end-watch':
      case 'read-manifest':
      case 'read-parts':
      case 'read-instances':
        platform.execute(effect, (message) => this.isRunning && core.handle(message));
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private handleCallResult(callId: number, response: PeerResponse | undefined): void {
    if (this.isRunning) {
      this.core.handle(
        response === undefined
          ? { kind: 'call-failed', callId }
          : { kind: 'answer', callId, response },
      );
    }
  }
}
