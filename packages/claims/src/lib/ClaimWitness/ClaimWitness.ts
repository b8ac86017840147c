import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMessage, ClaimMutation, ClaimResponse } from '../messages.js';

/**
 * What a witness is asked.
 *
 * @internal
 */
export type WitnessMessage = Extract<ClaimMessage, { kind: 'remember' | 'seal' }>;

interface Remembered {
  mutation: ClaimMutation;
  receivedAt: Milliseconds;
}

/** A running claim is protected for two retentions after its grant; so is the memory of it. */
const MEMORY_RETENTIONS = 2;

/**
 * Remembers for owners what the store does not have, by shard and epoch: a state machine without
 * I/O. Once a new owner has asked for an epoch, the old owner gets no more acknowledgements for it:
 * a paused or cut-off owner would otherwise go on granting beside the new one, and the same key
 * would run twice.
 *
 * @internal
 */
export class ClaimWitness {
  /** Memory by `shard/epoch`, then by name: the latest mutation of each. */
  private readonly memory = new Map<string, Map<string, Remembered>>();

  /** The highest sealed epoch of each shard; never forgotten, one number a shard. */
  private readonly sealed = new Map<number, number>();

  /**
   * @param incarnation - of this process: what an earlier one remembered is lost, so questions for
   * it are answered `gone`, never with an empty memory
   */
  constructor(
    private readonly incarnation: number,
    private readonly options: ClaimOptions,
  ) {}

  /** How many mutations are held. */
  get size(): number {
    return [...this.memory.values()].reduce((sum, { size }) => sum + size, 0);
  }

  handle(message: WitnessMessage, now: Milliseconds): ClaimResponse {
    if (message.incarnation !== this.incarnation) {
      return { kind: 'gone' };
    }
    switch (message.kind) {
      case 'remember':
        return this.remember(message, now);
      case 'seal':
        return this.seal(message);
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  /** Forgets what has outlived every claim. Call it now and then. */
  expire(now: Milliseconds): void {
    const oldest = now - MEMORY_RETENTIONS * this.options.retention;
    for (const [place, names] of this.memory) {
      for (const [name, { receivedAt }] of names) {
        if (receivedAt < oldest) {
          names.delete(name);
        }
      }
      if (names.size === 0) {
        this.memory.delete(place);
      }
    }
  }

  private remember(
    message: Extract<WitnessMessage, { kind: 'remember' }>,
    now: Milliseconds,
  ): ClaimResponse {
    const { shard, epoch, committed, mutations } = message;
    if (epoch <= (this.sealed.get(shard) ?? 0)) {
      return { kind: 'epoch-sealed' };
    }
    const names = this.getNames(shard, epoch);
    for (const [name, { mutation }] of names) {
      if (mutation.sequence <= committed) {
        names.delete(name);
      }
    }
    for (const mutation of mutations) {
      // A late copy of an earlier message must not replace what came after it.
      if (mutation.sequence > (names.get(mutation.name)?.mutation.sequence ?? committed)) {
        names.set(mutation.name, { mutation, receivedAt: now });
      }
    }
    return { kind: 'remembered' };
  }

  private seal({ shard, epoch }: Extract<WitnessMessage, { kind: 'seal' }>): ClaimResponse {
    this.sealed.set(shard, Math.max(epoch, this.sealed.get(shard) ?? 0));
    const names = this.memory.get(`${shard}/${epoch}`)?.values() ?? [];
    const mutations = [...names].map(({ mutation }) => mutation);
    return { kind: 'sealed', mutations: mutations.sort((a, b) => a.sequence - b.sequence) };
  }

  private getNames(shard: number, epoch: number): Map<string, Remembered> {
    const place = `${shard}/${epoch}`;
    const names = this.memory.get(place) ?? new Map<string, Remembered>();
    this.memory.set(place, names);
    return names;
  }
}
