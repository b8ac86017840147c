import { ManualClock } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../lib/config/RelayConfiguration.js';
import { AttemptEnd, CancelReason } from '../lib/decide/messages.js';
import type { PlacementEffect, PlacementRequest } from '../lib/decide/messages.js';
import { PlacementCore } from '../lib/decide/PlacementCore/PlacementCore.js';
import type { PlacementOptions } from '../lib/decide/placementOptions.js';

type Kind = PlacementEffect['kind'];
type EffectOf<K extends Kind> = Extract<PlacementEffect, { kind: K }>;

/** What an engine takes to say that it lives. */
const QUESTION_TIME = 5;

/** A placement core on a clock of its own, with all that it ordered. */
export class CoreHarness {
  readonly clock = new ManualClock();

  readonly effects: PlacementEffect[] = [];

  readonly core: PlacementCore;

  private isAlive = true;

  constructor(
    services: readonly RelayService[],
    replicas: readonly RelayReplica[],
    options: Partial<PlacementOptions> = {},
  ) {
    this.core = new PlacementCore({
      clock: this.clock,
      emit: (effect) => this.take(effect),
      options,
    });
    this.core.handle({ kind: 'services', services });
    this.core.handle({ kind: 'replicas', replicas });
  }

  /** From now on engines that are asked whether they live answer so, a moment later. */
  answerLivenessChecks(isAlive: boolean): void {
    this.isAlive = isAlive;
  }

  /** Like a daemon, it reports the end of an attempt that it was told to cancel right after. */
  private take(effect: PlacementEffect): void {
    this.effects.push(effect);
    if (effect.kind === 'check-liveness') {
      const replica = effect.replica.id;
      const { isAlive } = this;
      this.clock.setTimer(QUESTION_TIME, () =>
        this.core.handle({ kind: 'liveness-checked', replica, isAlive }),
      );
    }
    if (effect.kind === 'cancel' && effect.reason === CancelReason.Silent) {
      const { id, attempt } = effect;
      this.clock.setTimer(0, () => this.end(id, attempt, AttemptEnd.Cancelled));
    }
  }

  submit(request: PlacementRequest): void {
    const now = this.clock.now();
    this.core.handle({
      kind: 'submit',
      request: { ...request, arrivedAt: now, deadline: now + request.deadline },
    });
  }

  end(id: string, attempt: number, end: AttemptEnd): void {
    this.core.handle({ kind: 'attempt-ended', id, attempt, end });
  }

  get<K extends Kind>(kind: K): EffectOf<K>[] {
    return this.effects.filter((effect): effect is EffectOf<K> => effect.kind === kind);
  }

  /** Replicas that a request was sent to, in order. */
  getReplicas(id: string): string[] {
    return this.get('send')
      .filter((effect) => effect.id === id)
      .map(({ replica }) => replica.id);
  }
}
