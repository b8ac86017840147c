import { ManualClock } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../lib/config/RelayConfiguration.js';
import { AttemptEnd, CancelReason, ProbeResult } from '../lib/decide/messages.js';
import type { PlacementEffect, PlacementRequest } from '../lib/decide/messages.js';
import { PlacementCore } from '../lib/decide/PlacementCore/PlacementCore.js';
import type { PlacementOptions } from '../lib/decide/placementOptions.js';

type Kind = PlacementEffect['kind'];
type EffectOf<K extends Kind> = Extract<PlacementEffect, { kind: K }>;

/** Duration of a liveness check of an engine. */
const LIVENESS_CHECK_TIME = 5;

/** Runs a placement core on a manual clock, and records its effects. */
export class CoreHarness {
  readonly clock: ManualClock;

  readonly effects: PlacementEffect[] = [];

  readonly core: PlacementCore;

  /** IDs of the requests that were submitted. */
  readonly submitted: string[] = [];

  /** ID of the request whose next attempt fails to be sent by an unexpected error. */
  failingRequest: string | undefined;

  private isAlive = true;

  /** The result of probes. Inconclusive by default: failures count against their replica. */
  probeResult = ProbeResult.Unknown;

  constructor(
    services: readonly RelayService[],
    replicas: readonly RelayReplica[],
    options: Partial<PlacementOptions> = {},
    start = 0,
  ) {
    this.clock = new ManualClock(start);
    this.core = new PlacementCore({
      clock: this.clock,
      emit: (effect) => this.handleEffect(effect),
      options,
    });
    this.core.handle({ kind: 'services', services });
    this.core.handle({ kind: 'replicas', replicas });
  }

  /** Sets the result of subsequent liveness checks. */
  answerLivenessChecks(isAlive: boolean): void {
    this.isAlive = isAlive;
  }

  /** Responds to liveness checks, and reports attempts that are cancelled for silence as ended. */
  private handleEffect(effect: PlacementEffect): void {
    if (effect.kind === 'send' && effect.id === this.failingRequest) {
      throw new Error('provoked error');
    }
    if (effect.kind === 'fault' && this.failingRequest === undefined) {
      throw effect.error;
    }
    this.effects.push(effect);
    if (effect.kind === 'check-liveness') {
      const replica = effect.replica.id;
      const { isAlive } = this;
      this.clock.setTimer(LIVENESS_CHECK_TIME, () =>
        this.core.handle({ kind: 'liveness-checked', replica, isAlive }),
      );
    }
    if (effect.kind === 'probe') {
      const replica = effect.replica.id;
      this.core.handle({ kind: 'probed', replica, result: this.probeResult });
    }
    if (effect.kind === 'cancel' && effect.reason === CancelReason.Silent) {
      const { id, attempt } = effect;
      this.clock.setTimer(0, () => this.end(id, attempt, AttemptEnd.Cancelled));
    }
  }

  submit(request: PlacementRequest): void {
    const now = this.clock.now();
    this.submitted.push(request.id);
    this.core.handle({
      kind: 'submit',
      request: { ...request, arrivedAt: now, deadline: now + request.deadline },
    });
  }

  end(id: string, attempt: number, end: AttemptEnd): void {
    this.core.handle({ kind: 'attempt-ended', id, attempt, end });
  }

  getEffects<K extends Kind>(kind: K): EffectOf<K>[] {
    return this.effects.filter((effect): effect is EffectOf<K> => effect.kind === kind);
  }

  /** Returns the IDs of the replicas that a request was sent to, in order. */
  getAttemptedReplicas(id: string): string[] {
    return this.getEffects('send')
      .filter((effect) => effect.id === id)
      .map(({ replica }) => replica.id);
  }
}
