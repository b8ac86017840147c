import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { TakeoverProof } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { SealRole } from '../messages.js';
import { getPreferredWitness, isSuspect, isSameProcess } from '../placement.js';
import { createHead, getHeadKey, parseHead } from '../ShardHead.js';
import type { UnresolvedEpoch, ShardHead } from '../ShardHead.js';
import { getInheritedEpochs, loadTable } from './loadTable.js';
import type { OwnershipSettings } from './Ownership.js';
import { getQuarantineDuration, getEndedEpochQuarantineDuration } from './Quarantine.js';
import type {
  HeadReadResult,
  SegmentsReadResult,
  ShardContext,
  ShardInput,
  WriteResult,
} from './shardMessages.js';
import { NO_ANSWER } from './shardMessages.js';
import type { ShardTable } from './ShardTable.js';

/** The result of a takeover. */
export type TakeoverResult =
  | { kind: 'taken'; settings: OwnershipSettings; proof: TakeoverProof }
  /** A live daemon owns the shard. */
  | { kind: 'owned'; owner: ClaimMember }
  /** The store did not respond, or the head changed too often. */
  | { kind: 'failed' };

/** The head as read, and what the takeover has learned since. */
interface TakeoverProgress {
  head: ShardHead | undefined;
  version: number;
  sentAt: Milliseconds;
  proof: TakeoverProof;
  mutations: ClaimMutation[];
  /** How long unknown keys are refused if the previous epoch could not be sealed. */
  quarantineDuration?: Milliseconds;
}

type Step =
  | { kind: 'read'; id: number; sentAt: Milliseconds }
  | { kind: 'seal'; id: number; progress: TakeoverProgress }
  | { kind: 'segments'; id: number; progress: TakeoverProgress }
  | { kind: 'write'; id: number; settings: OwnershipSettings; proof: TakeoverProof };

/** A head that changes this often during a takeover has a live owner. */
const MAX_CONFLICTS = 3;

/**
 * There may be grants that neither the store nor any reachable daemon remembers. If their keys were
 * granted again after the takeover, their requests would run twice. So unknown keys are refused
 * until every such grant has expired.
 */
function createUnresolvedEpochs(
  { head, quarantineDuration }: TakeoverProgress,
  now: Milliseconds,
): UnresolvedEpoch[] {
  if (head?.witness === undefined || quarantineDuration === undefined) {
    return [];
  }
  const { epoch, owner, witness, sequence } = head;
  return [{ epoch, owner, witness, sequence, until: now + quarantineDuration }];
}

/**
 * Takes over a shard: reads its head, gets the mutations that the last witness remembers and seals
 * the epoch there, and commits with a higher epoch. The conditional write fences the previous owner
 * at the store, and the seal fences it at the witness.
 */
export class Takeover {
  private step: Step;

  private conflicts = 0;

  constructor(
    private readonly context: ShardContext,
    /** Takeovers by this daemon whose confirmation was lost. */
    private readonly ownCommits: Set<string>,
    private readonly onEnd: (result: TakeoverResult) => void,
    now: Milliseconds,
  ) {
    this.step = this.read(now);
  }

  handle(input: ShardInput, now: Milliseconds): void {
    switch (input.kind) {
      case 'head-read':
        this.handleRead(input.id, input.result, now);
        break;
      case 'segments-read':
        this.handleSegments(input.id, input.result, now);
        break;
      case 'written':
        this.handleWritten(input.id, input.result, now);
        break;
      case 'peer-responded':
        this.handlePeerResponse(input.id, input.response, now);
        break;
      default:
        break;
    }
  }

  private handleRead(id: number, result: HeadReadResult, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'read' || step.id !== id) {
      return;
    }
    if (result === NO_ANSWER) {
      this.onEnd({ kind: 'failed' });
    } else {
      this.handleHead(result.object, step.sentAt, now);
    }
  }

  private handlePeerResponse(
    id: number,
    response: ClaimResponse | undefined,
    now: Milliseconds,
  ): void {
    const { step } = this;
    if (step.kind !== 'seal' || step.id !== id) {
      return;
    }
    const { progress } = step;
    const head = progress.head!;
    if (response?.kind === 'sealed') {
      progress.mutations = response.mutations.filter(({ sequence }) => sequence > head.sequence);
    } else {
      const { options } = this.context;
      progress.quarantineDuration =
        response?.kind === 'gone'
          ? getEndedEpochQuarantineDuration(options)
          : getQuarantineDuration(options);
      progress.proof = TakeoverProof.None;
    }
    this.readSegments(progress, now);
  }

  private handleSegments(id: number, result: SegmentsReadResult, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'segments' || step.id !== id) {
      return;
    }
    if (result === NO_ANSWER) {
      this.onEnd({ kind: 'failed' });
    } else {
      this.finishReading(step.progress, result, now);
    }
  }

  private handleWritten(id: number, result: WriteResult, now: Milliseconds): void {
    const { step } = this;
    if (step.kind !== 'write' || step.id !== id) {
      return;
    }
    if (result === NO_ANSWER) {
      // If the commit took effect, the next attempt recognizes it by its id.
      this.onEnd({ kind: 'failed' });
    } else if (result.kind === 'accepted') {
      // Until this write took effect, the store may have confirmed the previous owner, which may
      // trust its witness from then on. So the quarantine starts now, not when the write was sent.
      const writeTime = now - step.settings.confirmedAt;
      const unresolvedEpochs = step.settings.unresolvedEpochs.map((unresolved) => ({
        ...unresolved,
        until: unresolved.until + writeTime,
      }));
      const settings = { ...step.settings, unresolvedEpochs, version: result.version };
      this.onEnd({ kind: 'taken', settings, proof: step.proof });
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
    this.conflicts += 1;
    if (this.conflicts >= MAX_CONFLICTS) {
      this.onEnd({ kind: 'failed' });
    } else {
      this.step = this.read(now);
    }
  }

  private handleHead(
    object: StoredObject | undefined,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    const head = object === undefined ? undefined : parseHead(object.value);
    const version = object?.version ?? 0;
    const progress: TakeoverProgress = {
      head,
      version,
      sentAt,
      proof: TakeoverProof.Fresh,
      mutations: [],
    };
    if (head === undefined) {
      this.finishReading(progress, [], now);
    } else if (this.ownCommits.has(head.commit)) {
      this.readSegments({ ...progress, proof: TakeoverProof.OwnCommit }, now);
    } else if (head.clean) {
      this.readSegments({ ...progress, proof: TakeoverProof.Clean }, now);
    } else if (this.isLive(head.owner)) {
      this.onEnd({ kind: 'owned', owner: head.owner });
    } else if (head.witness === undefined) {
      this.readSegments({ ...progress, proof: TakeoverProof.NoWitness }, now);
    } else {
      this.seal({ ...progress, proof: TakeoverProof.Sealed }, head, head.witness);
    }
  }

  /**
   * Whether the owner can be asked to hand over or will do so by itself. An owner that is shutting
   * down still owns its shards: if a shard were taken from it by force, it would be in quarantine
   * until its grants are known, and callers would be told "unknown" for keys that were never used.
   */
  private isLive(owner: ClaimMember): boolean {
    const { self, members } = this.context;
    return (
      !isSameProcess(owner, self) &&
      members.some((member) => isSameProcess(member, owner) && !isSuspect(member))
    );
  }

  private seal(progress: TakeoverProgress, { epoch }: ShardHead, peer: ClaimMember): void {
    const { shard, createId, emit } = this.context;
    const id = createId();
    this.step = { kind: 'seal', id, progress };
    const { incarnation } = peer;
    const role = SealRole.Witness;
    emit({
      kind: 'call-peer',
      id,
      peer,
      message: { kind: 'seal', shard, epoch, role, incarnation },
    });
  }

  private readSegments(progress: TakeoverProgress, now: Milliseconds): void {
    if (progress.head === undefined) {
      this.finishReading(progress, [], now);
      return;
    }
    const id = this.context.createId();
    this.step = { kind: 'segments', id, progress };
    this.context.emit({ kind: 'read-segments', id });
  }

  private finishReading(
    progress: TakeoverProgress,
    objects: StoredObject[],
    now: Milliseconds,
  ): void {
    const { shard, options } = this.context;
    const table = loadTable(shard, progress, objects, options, now);
    if (table === undefined) {
      // A segment that the head lists is missing: the owner is alive and has written a newer head.
      this.restart(now);
      return;
    }
    const settings = this.createOwnershipSettings(progress, table, now);
    if (progress.proof === TakeoverProof.OwnCommit) {
      this.onEnd({ kind: 'taken', settings, proof: progress.proof });
    } else {
      this.write(settings, progress, now);
    }
  }

  private createOwnershipSettings(
    progress: TakeoverProgress,
    table: ShardTable,
    now: Milliseconds,
  ): OwnershipSettings {
    const { head, version, sentAt, mutations, proof } = progress;
    const sequences = mutations.map(({ sequence }) => sequence);
    const sequence = Math.max(head?.sequence ?? 0, ...sequences);
    const unresolvedEpochs = getInheritedEpochs(head, now).concat(
      createUnresolvedEpochs(progress, now),
    );
    const { shard, self, members } = this.context;
    const isOwn = proof === TakeoverProof.OwnCommit;
    const epoch = isOwn ? head!.epoch : (head?.epoch ?? 0) + 1;
    const witness = isOwn ? head!.witness : getPreferredWitness(shard, self, members);
    const header = { epoch, witness, clean: false };
    return { table, header, version, sequence, confirmedAt: sentAt, unresolvedEpochs };
  }

  private write(
    settings: OwnershipSettings,
    { version, proof }: TakeoverProgress,
    now: Milliseconds,
  ): void {
    const { shard, self, createId, emit } = this.context;
    const commit = `${self.id}.${self.incarnation}.${createId()}`;
    this.ownCommits.add(commit);
    const head = createHead(self, { commit, ...settings }, now);
    const id = createId();
    this.step = { kind: 'write', id, settings: { ...settings, confirmedAt: now }, proof };
    const value = JSON.stringify(head);
    emit({ kind: 'write', id, key: getHeadKey(shard), value, expectedVersion: version });
  }
}
