import { createClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import { getOwnerOrder } from '../placement.js';
import type { ShardHead } from '../ShardHead.js';
import { ClaimShard } from './ClaimShard.js';
import { getQuarantineDuration } from './Quarantine.js';
import { NO_ANSWER } from './shardMessages.js';
import type { HeadReadResult, ShardEffect, ShardInput } from './shardMessages.js';

const options = createClaimOptions();

function createMember(id: string): ClaimMember {
  return { id, incarnation: 1, availabilityZone: id, address: id };
}

const [SELF, WITNESS] = getOwnerOrder(0, ['a', 'b'].map(createMember));

const GONE = createMember('gone');

const claim = {
  kind: 'claim' as const,
  call: 1,
  request: {
    name: 'painotuote/hold',
    fingerprint: 'print',
    requestId: 'r1',
    claim: 'b.1.1',
    holder: { id: 'b', incarnation: 1 },
  },
};

/** The state machine of a shard, with the effects that its last input caused. */
class ShardHarness {
  effects: ShardEffect[] = [];

  private readonly shard: ClaimShard;

  private ids = 0;

  constructor() {
    this.shard = new ClaimShard({
      shard: 0,
      self: SELF!,
      options,
      members: [SELF!, WITNESS!],
      emit: (effect) => this.effects.push(effect),
      createId: () => {
        this.ids += 1;
        return this.ids;
      },
    });
  }

  handle(input: ShardInput, now: number): void {
    this.effects = [];
    this.shard.handle(input, now);
  }

  get<Kind extends ShardEffect['kind']>(kind: Kind): Extract<ShardEffect, { kind: Kind }> {
    type Wanted = Extract<ShardEffect, { kind: Kind }>;
    return this.effects.find((effect): effect is Wanted => effect.kind === kind)!;
  }

  /** Answers the read in progress, and the read of segments if one follows. */
  read(result: HeadReadResult, now: number, id = this.get('read-head').id): void {
    this.handle({ kind: 'head-read', id, result }, now);
    this.readSegments(now);
  }

  readSegments(now: number): void {
    const segments = this.get('read-segments');
    if (segments !== undefined) {
      this.handle({ kind: 'segments-read', id: segments.id, result: [] }, now);
    }
  }
}

function createRead(changes: Partial<ShardHead>): HeadReadResult {
  const head = { owner: GONE, epoch: 4, witness: WITNESS, commit: 'gone.1.9', sequence: 2 };
  const rest = { clean: false, writtenAt: 5, doubts: [], segments: [], entries: [] };
  const value = JSON.stringify({ ...head, ...rest, ...changes });
  return { object: { key: 'claims/0', value, version: 11 } };
}

describe('ClaimShard', () => {
  // A quarantine counted from before the write of the takeover ended too early: until that write
  // took effect, the store could confirm the previous owner, which then trusted its witness for
  // longer. A key was granted twice.
  it('counts the quarantine from when the takeover took effect', () => {
    const harness = new ShardHarness();
    harness.handle({ kind: 'rebalance' }, 100);
    harness.read(createRead({}), 110);
    const { id } = harness.get('call-peer');
    harness.handle({ kind: 'peer-responded', id, response: undefined }, 120);
    harness.readSegments(120);
    const write = harness.get('write');
    expect(write.expectedVersion).toBe(11);
    const result = { kind: 'accepted' as const, version: 12 };
    harness.handle({ kind: 'written', id: write.id, result }, 900);
    expect(harness.get('decision').event).toMatchObject({ kind: 'shard-taken', proof: 'none' });
    const end = 900 + getQuarantineDuration(options);
    harness.handle({ kind: 'wake' }, end - 1);
    expect(harness.get('decision')).toBeUndefined();
    harness.handle({ kind: 'wake' }, end);
    expect(harness.get('decision').event.kind).toBe('quarantine-ended');
  });

  // An owner that did not recognize its own commit after a lost confirmation took itself for a
  // previous owner with unknown grants, and put the shard into quarantine.
  it('recognizes its own takeover after a lost confirmation', () => {
    const harness = new ShardHarness();
    harness.handle({ kind: 'rebalance' }, 100);
    harness.read({ object: undefined }, 110);
    const write = harness.get('write');
    harness.handle({ kind: 'written', id: write.id, result: NO_ANSWER }, 120);
    harness.handle({ kind: 'rebalance' }, 200);
    harness.read({ object: { key: 'claims/0', value: write.value, version: 7 } }, 210);
    expect(harness.get('decision').event).toMatchObject({ kind: 'shard-taken', epoch: 1 });
    expect(harness.get('call-peer')).toBeUndefined();
  });

  // An offer that arrived during a takeover was dropped and a cooldown started, so claims were
  // refused for seconds after a graceful handover.
  it('accepts an offer that arrives while it reads the head', () => {
    const harness = new ShardHarness();
    harness.handle({ kind: 'rebalance' }, 100);
    const { id } = harness.get('read-head');
    harness.handle({ kind: 'take' }, 105);
    harness.read(createRead({ owner: WITNESS }), 110, id);
    harness.read(createRead({ owner: WITNESS, clean: true }), 120);
    expect(harness.get('write').expectedVersion).toBe(11);
  });

  // Without a cooldown after a loss, two daemons that each believed the other dead took the shard
  // from each other with every claim, which made the store's writes rise and claims slow.
  it('makes no attempt to take a shard back during the cooldown after a loss', () => {
    const harness = new ShardHarness();
    harness.handle({ kind: 'rebalance' }, 100);
    harness.read({ object: undefined }, 100);
    const result = { kind: 'accepted' as const, version: 1 };
    harness.handle({ kind: 'written', id: harness.get('write').id, result }, 100);
    harness.handle(claim, 200);
    const { id } = harness.get('write');
    const current = Object(createRead({})).object;
    harness.handle({ kind: 'written', id, result: { kind: 'conflict', current } }, 210);
    expect(harness.get('reply').response).toEqual({ kind: 'not-owner', owner: GONE });
    harness.handle(claim, 210 + options.takeoverCooldown - 1);
    expect(harness.get('reply').response).toEqual({ kind: 'not-owner', owner: GONE });
    harness.handle(claim, 210 + options.takeoverCooldown);
    expect(harness.get('read-head')).toBeDefined();
  });

  // A shard was handed to a daemon that still believed that it owned it, so the offer was dropped.
  // Its next commit conflicted, and it started a cooldown as after any loss: claims were refused
  // for up to five seconds of a rolling restart of all daemons.
  it('takes over a shard at once when the new owner has released it since', () => {
    const harness = new ShardHarness();
    harness.handle({ kind: 'rebalance' }, 100);
    harness.read({ object: undefined }, 100);
    const result = { kind: 'accepted' as const, version: 1 };
    harness.handle({ kind: 'written', id: harness.get('write').id, result }, 100);
    harness.handle({ kind: 'take' }, 150);
    harness.handle(claim, 200);
    const left = createRead({ clean: true });
    const current = Object(left).object;
    harness.handle(
      { kind: 'written', id: harness.get('write').id, result: { kind: 'conflict', current } },
      210,
    );
    expect(harness.get('reply')).toBeUndefined();
    harness.read(left, 220);
    const taken = { kind: 'accepted' as const, version: 12 };
    harness.handle({ kind: 'written', id: harness.get('write').id, result: taken }, 230);
    const granting = harness.get('write');
    harness.handle(
      { kind: 'written', id: granting.id, result: { kind: 'accepted', version: 13 } },
      240,
    );
    expect(harness.get('reply').response).toEqual({
      kind: 'answer',
      answer: { kind: 'granted' },
    });
  });

  // A daemon that had lost the shard without knowing confirmed an outcome whose claim it did not
  // have. The outcome was not reported again, and for two minutes every repeat, 2,000 in all, got the
  // response that the request was in progress.
  it('confirms an outcome only after the store has confirmed that it owns the shard', () => {
    const harness = new ShardHarness();
    harness.handle({ kind: 'rebalance' }, 100);
    harness.read({ object: undefined }, 100);
    const result = { kind: 'accepted' as const, version: 1 };
    harness.handle({ kind: 'written', id: harness.get('write').id, result }, 100);
    const { request } = claim;
    harness.handle({ kind: 'settle', call: 2, request, outcome: { kind: 'unknown' } }, 200);
    expect(harness.get('reply')).toBeUndefined();
    harness.handle({ kind: 'wake' }, 200 + options.settleDelay);
    const { id } = harness.get('write');
    const current = Object(createRead({})).object;
    harness.handle({ kind: 'written', id, result: { kind: 'conflict', current } }, 1300);
    expect(harness.get('reply').response).toEqual({ kind: 'not-owner', owner: GONE });
  });

  // A daemon that had just found a live owner kept its cooldown after that owner had gone, so
  // claims of the shard were refused for seconds.
  it('ends its cooldown when the live owner that caused it is gone', () => {
    const harness = new ShardHarness();
    harness.handle(claim, 100);
    harness.read(createRead({ owner: WITNESS }), 100);
    expect(harness.get('reply').response).toEqual({ kind: 'not-owner', owner: WITNESS });
    harness.handle(claim, 101);
    expect(harness.get('read-head')).toBeUndefined();
    harness.handle({ kind: 'members', members: [SELF!] }, 102);
    harness.handle(claim, 103);
    expect(harness.get('read-head')).toBeDefined();
  });
});
