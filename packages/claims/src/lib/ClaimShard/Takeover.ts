import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { TakeoverProof } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { SealRole } from '../messages.js';
import { getPreferredWitness, isDoubted, isSameProcess } from '../placement.js';
import { createHead, getHeadKey, parseHead } from '../ShardHead.js';
import type { Doubt, ShardHead } from '../ShardHead.js';
import { getMovedDoubts, loadTable } from './loadTable.js';
import type { OwnershipStart } from './Ownership.js';
import { getDoubtSpan, getEndedSpan } from './Quarantine.js';
import type {
  HeadRead,
  SegmentsRead,
  ShardContext,
  ShardInput,
  WriteResult,
} from './shardMessages.js';
import { NO_ANSWER } from './shardMessages.js';
import type { ShardTable } from './ShardTable.js';

/** How a takeover ended. */
export type TakeoverEnd =
  | { kind: 'taken'; start: OwnershipStart; proof: TakeoverProof }
  /** A live daemon owns the shard. */
  | { kind: 'owned'; owner: ClaimMember }
  /** The store gave no answer, or the object moved too often. */
  | { kind: 'failed' };

/** The object as read, and what the takeover learned since. */
interface Reading {
  head: ShardHead | undefined;
  version: number;
  sentAt: Milliseconds;
  proof: TakeoverProof;
  mutations: ClaimMutation[];
  /** How long unseen keys are refused, when nobody could say what was granted. */
  doubtSpan?: Milliseconds;
}

type Step =
  | { kind: 'read'; id: number; sentAt: Milliseconds }
  | { kind: 'seal'; id: number; reading: Reading }
  | { kind: 'segments'; id: number; reading: Reading }
  | { kind: 'write'; id: number; start: OwnershipStart; proof: TakeoverProof };

/** An object that moves this often under a takeover has an owner that lives. */
const MOVE_LIMIT = 3;

/**
 * Grants may exist that neither the store nor anyone we can reach remembers. How one would notice:
 * the same key granted again after the takeover, and run twice. So unseen keys are refused until
 * any such grant has expired.
 */
function createDoubts({ head, doubtSpan }: Reading, now: Milliseconds): Doubt[] {
  if (head?.witness === undefined || doubtSpan === undefined) {
    return [];
  }
  const { epoch, owner, witness, sequence } = head;
  return [{ epoch, owner, witness, sequence, until: now + doubtSpan }];
}

/**
 * Takes a shard over: reads its object, gets the last witness's memory and seals the epoch there,
 * and commits with a higher epoch. The conditional write fences the last owner at the store, the
 * seal fences it at the witness.
 */
export class Takeover {
  private step: Step;

  private moves = 0;

  constructor(
    private readonly context: ShardContext,
    /** Takeovers of ours whose confirmation was lost. */
    private readonly ownCommits: Set<string>,
    private readonly onEnd: (end: TakeoverEnd) => void,
    now: Milliseconds,
  ) {
    this.step = this.read(now);
  }

  handle(input: ShardInput, now: Milliseconds): void {
    switch (input.kind) {
      case 'head-read':
        this.onRead(input.id, input.result, now);
        break;
      case 'segments-read':
        this.onSegments(input.id, input.result, now);
        break;
      case 'written':
        this.onWritten(input.id, input.result, now);
        break;
      case 'peer-replied':
        this.onPeerReply(input.id, input.reply, now);
        break;
      default:
        break;
    }
  }

  private onRead(id: number, result: HeadRead, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'read' || step.id !== id) {
      return;
    }
    if (result === NO_ANSWER) {
      this.onEnd({ kind: 'failed' });
    } else {
      this.onHead(result.object, step.sentAt, now);
    }
  }

  private onPeerReply(id: number, reply: ClaimResponse | undefined, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'seal' || step.id !== id) {
      return;
    }
    const { reading } = step;
    const head = reading.head!;
    if (reply?.kind === 'sealed') {
      reading.mutations = reply.mutations.filter(({ sequence }) => sequence > head.sequence);
    } else {
      const { options } = this.context;
      reading.doubtSpan = reply?.kind === 'gone' ? getEndedSpan(options) : getDoubtSpan(options);
      reading.proof = TakeoverProof.None;
    }
    this.readSegments(reading, now);
  }

  private onSegments(id: number, result: SegmentsRead, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'segments' || step.id !== id) {
      return;
    }
    if (result === NO_ANSWER) {
      this.onEnd({ kind: 'failed' });
    } else {
      this.finishReading(step.reading, result, now);
    }
  }

  private onWritten(id: number, result: WriteResult, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'write' || step.id !== id) {
      return;
    }
    if (result === NO_ANSWER) {
      // The next try finds the commit by its id if it took effect.
      this.onEnd({ kind: 'failed' });
    } else if (result.kind === 'accepted') {
      // The last owner may have seen its shard confirmed until our write took effect, and may trust
      // its witness from then on: doubts run from now, not from when the write was sent.
      const late = now - step.start.provedAt;
      const doubts = step.start.doubts.map((doubt) => ({ ...doubt, until: doubt.until + late }));
      const start = { ...step.start, doubts, version: result.version };
      this.onEnd({ kind: 'taken', start, proof: step.proof });
    } else {
      this.restart(now);
    }
  }

  private read(now: Milliseconds): Step {
    const id = this.context.createId();
    this.context.emit({ kind: 'read-head', id });
    return { kind: 'read', id, sentAt: now };
  }

  private restart(now: Milliseconds): void {
    this.moves += 1;
    if (this.moves >= MOVE_LIMIT) {
      this.onEnd({ kind: 'failed' });
    } else {
      this.step = this.read(now);
    }
  }

  private onHead(object: StoredObject | undefined, sentAt: Milliseconds, now: Milliseconds): void {
    const head = object === undefined ? undefined : parseHead(object.value);
    const version = object?.version ?? 0;
    const reading: Reading = { head, version, sentAt, proof: TakeoverProof.Fresh, mutations: [] };
    if (head === undefined) {
      this.finishReading(reading, [], now);
    } else if (this.ownCommits.has(head.commit)) {
      this.readSegments({ ...reading, proof: TakeoverProof.OwnCommit }, now);
    } else if (head.clean) {
      this.readSegments({ ...reading, proof: TakeoverProof.Clean }, now);
    } else if (this.isLive(head.owner)) {
      this.onEnd({ kind: 'owned', owner: head.owner });
    } else if (head.witness === undefined) {
      this.readSegments({ ...reading, proof: TakeoverProof.NoWitness }, now);
    } else {
      this.seal({ ...reading, proof: TakeoverProof.Sealed }, head, head.witness);
    }
  }

  /**
   * Whether the owner can be asked to hand over, or does so by itself. One that shuts down still
   * owns its shards: taken from it by force, a shard would be in quarantine until it has told what
   * it granted, and callers would be told "unknown" for keys that nobody ever used.
   */
  private isLive(owner: ClaimMember): boolean {
    const { self, members } = this.context;
    return (
      !isSameProcess(owner, self) &&
      members.some((member) => isSameProcess(member, owner) && !isDoubted(member))
    );
  }

  private seal(reading: Reading, { epoch }: ShardHead, peer: ClaimMember): void {
    const { shard, createId, emit } = this.context;
    const id = createId();
    this.step = { kind: 'seal', id, reading };
    const { incarnation } = peer;
    const role = SealRole.Witness;
    emit({
      kind: 'call-peer',
      id,
      peer,
      message: { kind: 'seal', shard, epoch, role, incarnation },
    });
  }

  private readSegments(reading: Reading, now: Milliseconds): void {
    if (reading.head === undefined) {
      this.finishReading(reading, [], now);
      return;
    }
    const id = this.context.createId();
    this.step = { kind: 'segments', id, reading };
    this.context.emit({ kind: 'read-segments', id });
  }

  private finishReading(reading: Reading, objects: StoredObject[], now: Milliseconds): void {
    const { shard, options } = this.context;
    const table = loadTable(shard, reading, objects, options, now);
    if (table === undefined) {
      // A segment that the head names is gone: its owner lives and has written a newer head.
      this.restart(now);
      return;
    }
    const start = this.createStart(reading, table, now);
    if (reading.proof === TakeoverProof.OwnCommit) {
      this.onEnd({ kind: 'taken', start, proof: reading.proof });
    } else {
      this.write(start, reading, now);
    }
  }

  private createStart(reading: Reading, table: ShardTable, now: Milliseconds): OwnershipStart {
    const { head, version, sentAt, mutations, proof } = reading;
    const sequences = mutations.map(({ sequence }) => sequence);
    const sequence = Math.max(head?.sequence ?? 0, ...sequences);
    const doubts = getMovedDoubts(head, now).concat(createDoubts(reading, now));
    const { shard, self, members } = this.context;
    const isOwn = proof === TakeoverProof.OwnCommit;
    const epoch = isOwn ? head!.epoch : (head?.epoch ?? 0) + 1;
    const witness = isOwn ? head!.witness : getPreferredWitness(shard, self, members);
    const header = { epoch, witness, clean: false };
    return { table, header, version, sequence, provedAt: sentAt, doubts };
  }

  private write(start: OwnershipStart, { version, proof }: Reading, now: Milliseconds): void {
    const { shard, self, createId, emit } = this.context;
    const commit = `${self.id}.${self.incarnation}.${createId()}`;
    this.ownCommits.add(commit);
    const head = createHead(self, { commit, ...start }, now);
    const id = createId();
    this.step = { kind: 'write', id, start: { ...start, provedAt: now }, proof };
    const value = JSON.stringify(head);
    emit({ kind: 'write', id, key: getHeadKey(shard), value, expectedVersion: version });
  }
}
