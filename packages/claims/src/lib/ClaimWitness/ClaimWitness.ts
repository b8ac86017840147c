import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMessage, ClaimMutation, ClaimResponse } from '../messages.js';

/**
 * The messages that a witness handles.
 *
 * @internal
 */
export type WitnessMessage = Extract<ClaimMessage, { kind: 'remember' | 'seal' }>;

interface WitnessedMutation {
  mutation: ClaimMutation;
  receivedAt: Milliseconds;
}

/**
 * A running claim is protected for two retention periods after its grant, and so is its copy at the
 * witness.
 */
const MEMORY_RETENTIONS = 2;

/**
 * Remembers for owners what the store does not have, by shard and epoch: a state machine without
 * I/O. After a new owner has sealed an epoch, the old owner gets no more acknowledgements for it.
 * Otherwise an owner that was paused or cut off would go on granting beside the new one, and the
 * request of a key would run twice.
 *
 * @internal
 */
export class ClaimWitness {
  /** The latest mutation of each name, by `shard/epoch` and then by name. */
  private readonly memory = new Map<string, Map<string, WitnessedMutation>>();

  /**
   * The highest sealed epoch of each shard. Never removed, since it is only one number per shard.
   */
  private readonly sealedEpochs = new Map<number, number>();

  /**
   * @param incarnation - of this process; what an earlier incarnation remembered is lost, so
   * messages to it are answered `gone`, never with an empty memory
   */
  constructor(
    private readonly incarnation: number,
    private readonly options: ClaimOptions,
  ) {}

  /** Number of mutations in memory. */
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

  /** Removes mutations that have outlived every claim. Must be called regularly. */
  expire(now: Milliseconds): void {
    const oldest = now - MEMORY_RETENTIONS * this.options.retention;
    for (const [epochKey, mutationsByName] of this.memory) {
      for (const [name, { receivedAt }] of mutationsByName) {
        if (receivedAt < oldest) {
          mutationsByName.delete(name);
        }
      }
      if (mutationsByName.size === 0) {
        this.memory.delete(epochKey);
      }
    }
  }

  private remember(
    message: Extract<WitnessMessage, { kind: 'remember' }>,
    now: Milliseconds,
  ): ClaimResponse {
    const { shard, epoch, committed, mutations } = message;
    if (epoch <= (this.sealedEpochs.get(shard) ?? 0)) {
      return { kind: 'epoch-sealed' };
    }
    const mutationsByName = this.getMutationsByName(shard, epoch);
    for (const [name, { mutation }] of mutationsByName) {
      if (mutation.sequence <= committed) {
        mutationsByName.delete(name);
      }
    }
    for (const mutation of mutations) {
      // A late copy of an earlier message must not replace a later mutation.
      if (
        mutation.sequence > (mutationsByName.get(mutation.name)?.mutation.sequence ?? committed)
      ) {
        mutationsByName.set(mutation.name, { mutation, receivedAt: now });
      }
    }
    return { kind: 'remembered' };
  }

  private seal({ shard, epoch }: Extract<WitnessMessage, { kind: 'seal' }>): ClaimResponse {
    this.sealedEpochs.set(shard, Math.max(epoch, this.sealedEpochs.get(shard) ?? 0));
    const remembered = this.memory.get(`${shard}/${epoch}`)?.values() ?? [];
    const mutations = [...remembered].map(({ mutation }) => mutation);
    return { kind: 'sealed', mutations: mutations.sort((a, b) => a.sequence - b.sequence) };
  }

  private getMutationsByName(shard: number, epoch: number): Map<string, WitnessedMutation> {
    const epochKey = `${shard}/${epoch}`;
    const mutationsByName = this.memory.get(epochKey) ?? new Map<string, WitnessedMutation>();
    this.memory.set(epochKey, mutationsByName);
    return mutationsByName;
  }
}
