import { createClaimOptions } from '../ClaimOptions.js';
import type { ClaimMutation } from '../messages.js';
import { SealRole } from '../messages.js';
import { ClaimWitness } from './ClaimWitness.js';

const INCARNATION = 7;

const options = createClaimOptions();

function mutation(sequence: number, name = 'painotuote/hold'): ClaimMutation {
  return { sequence, name, claim: `claim-${sequence}` };
}

function remember(epoch: number, committed: number, ...mutations: ClaimMutation[]) {
  const epochKey = { shard: 3, epoch, incarnation: INCARNATION };
  return { kind: 'remember' as const, ...epochKey, committed, mutations };
}

function seal(epoch: number, incarnation = INCARNATION) {
  return { kind: 'seal' as const, shard: 3, epoch, role: SealRole.Witness, incarnation };
}

describe('ClaimWitness', () => {
  it('returns the latest mutation of each key, except those that the store has', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(remember(1, 0, mutation(1, 'painotuote/old'), mutation(2)), 0);
    witness.handle(remember(1, 1, mutation(3)), 0);
    const response = witness.handle(seal(1), 0);
    expect(response).toEqual({ kind: 'sealed', mutations: [mutation(3)] });
  });

  // The network delivered a copy of an earlier message after a later one. If the copy replaced the
  // later mutation, a repeat of a running request was granted.
  it('keeps the later mutation when an earlier message is delivered again', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(remember(1, 0, mutation(2)), 0);
    witness.handle(remember(1, 0, mutation(1)), 0);
    const response = witness.handle(seal(1), 0);
    expect(response).toEqual({ kind: 'sealed', mutations: [mutation(2)] });
  });

  it('acknowledges nothing in a sealed epoch, but continues with the next', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(seal(4), 0);
    expect(witness.handle(remember(4, 0, mutation(1)), 0)).toEqual({ kind: 'epoch-sealed' });
    expect(witness.handle(remember(5, 0, mutation(1)), 0)).toEqual({ kind: 'remembered' });
  });

  it('does not answer for an earlier incarnation', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    expect(witness.handle(seal(1, INCARNATION - 1), 0)).toEqual({ kind: 'gone' });
  });

  it('discards mutations that have outlived every claim', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(remember(1, 0, mutation(1)), 0);
    witness.expire(2 * options.retention);
    expect(witness.size).toBe(1);
    witness.expire(2 * options.retention + 1);
    expect(witness.size).toBe(0);
  });
});
