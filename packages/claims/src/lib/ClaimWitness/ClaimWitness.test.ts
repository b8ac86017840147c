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
  it('gives the latest mutation of each key, without what the store has', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(remember(1, 0, mutation(1, 'painotuote/old'), mutation(2)), 0);
    witness.handle(remember(1, 1, mutation(3)), 0);
    const response = witness.handle(seal(1), 0);
    expect(response).toEqual({ kind: 'sealed', mutations: [mutation(3)] });
  });

  // Symptom: a repeat of a running hold is granted. Sequence: the network delivers a copy of an
  // earlier message after a later one. Cause: the copy replaces what came after it.
  it('keeps the later mutation when an earlier message comes again', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(remember(1, 0, mutation(2)), 0);
    witness.handle(remember(1, 0, mutation(1)), 0);
    const response = witness.handle(seal(1), 0);
    expect(response).toEqual({ kind: 'sealed', mutations: [mutation(2)] });
  });

  it('acknowledges nothing of a sealed epoch, and goes on with the next', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(seal(4), 0);
    expect(witness.handle(remember(4, 0, mutation(1)), 0)).toEqual({ kind: 'epoch-sealed' });
    expect(witness.handle(remember(5, 0, mutation(1)), 0)).toEqual({ kind: 'remembered' });
  });

  it('never answers for an earlier incarnation', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    expect(witness.handle(seal(1, INCARNATION - 1), 0)).toEqual({ kind: 'gone' });
  });

  it('forgets what has outlived every claim', () => {
    const witness = new ClaimWitness(INCARNATION, options);
    witness.handle(remember(1, 0, mutation(1)), 0);
    witness.expire(2 * options.retention);
    expect(witness.size).toBe(1);
    witness.expire(2 * options.retention + 1);
    expect(witness.size).toBe(0);
  });
});
