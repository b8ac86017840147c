import type { Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { jitter, pickSome } from '../CoreContext.js';
import { getMeshAddress, isRunning } from '../Member.js';
import type { MemberRecord } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import { WordFrom } from '../Membership/Membership.js';
import { BUCKETS, getBucket } from '../MemberTable/MemberTable.js';
import type { PeerAnswer, PeerRequest, ReplicaNotice } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { getRumourBytes } from '../RumourQueue/getRumourBytes.js';

type SyncRequest = Extract<PeerRequest, { kind: 'sync' }>;
type SyncPage = Extract<PeerAnswer, { kind: 'sync-page' }>;

/** While this daemon knows nobody it asks around this often. */
const JOIN_INTERVAL = 1000;

/** One comparison in so many goes to an address that may be there again. */
const RECONNECT_SHARE = 4;

const HASH_BYTES = 4;

interface AntiEntropyParts {
  context: CoreContext;
  membership: Membership;
  calls: PeerCalls;
  /** Addresses from the settings. */
  seeds: readonly string[];
  getGeneration: () => number;
  getNotices: () => ReplicaNotice[];
  hearNotices: (notices: readonly ReplicaNotice[]) => void;
  /** Takes the generation that an answer carries; the address is where to get it. */
  hearGeneration: (generation: number, address: string) => void;
}

function getBytes(record: MemberRecord): number {
  return getRumourBytes({ kind: 'member', record });
}

/**
 * Compares the whole view with another daemon's now and then: finds what rumours missed, brings a
 * new daemon its first view, and joins parts that took each other for dead.
 */
export class AntiEntropy {
  private timer: Timer | undefined;

  /** Addresses the platform's list names. */
  private listed: readonly string[] = [];

  /** Where the last comparison stopped for its size. */
  private resumeAt = 0;

  constructor(private readonly parts: AntiEntropyParts) {}

  start(): void {
    this.syncNow();
    this.arm();
  }

  setListed(addresses: readonly string[]): void {
    this.listed = addresses;
  }

  /** Compares with this daemon now. */
  syncWith(address: string): void {
    this.parts.context.counters.syncs += 1;
    this.ask(address, this.resumeAt, this.getRunning().length === 0);
  }

  /** Answers a comparison. */
  answer(request: SyncRequest): SyncPage {
    const { context, membership } = this.parts;
    membership.hearRecord(request.self, WordFrom.Rumour);
    const hashes = membership.table.getBucketHashes(membership.self.get());
    const records: MemberRecord[] = [];
    let bytes = 0;
    let bucket = request.start;
    for (; bucket < BUCKETS && bytes < context.options.syncPageBytes; bucket += 1) {
      const at = bucket * HASH_BYTES;
      const isSame = Buffer.compare(
        hashes.subarray(at, at + HASH_BYTES),
        request.buckets.subarray(at, at + HASH_BYTES),
      );
      if (isSame !== 0) {
        const found = this.getBucketRecords(bucket);
        records.push(...found);
        bytes += found.reduce((sum, record) => sum + getBytes(record), 0);
      }
    }
    return {
      kind: 'sync-page',
      generation: this.parts.getGeneration(),
      records,
      notices: this.parts.getNotices(),
      next: bucket < BUCKETS ? bucket : -1,
    };
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private arm(): void {
    const { context } = this.parts;
    const { syncInterval } = context.options;
    const interval = this.getRunning().length === 0 ? JOIN_INTERVAL : syncInterval;
    this.timer = context.clock.setTimer(jitter(context, interval), () => {
      this.parts.membership.forgetDead();
      this.syncNow();
      this.arm();
    });
  }

  private syncNow(): void {
    const { context } = this.parts;
    const running = this.getRunning();
    const lost = this.getLostAddresses(running);
    const isLostTurn = running.length === 0 || context.random.integer(RECONNECT_SHARE) === 0;
    const from = isLostTurn && lost.length > 0 ? lost : running;
    pickSome(context, from, 1).forEach((address) => this.syncWith(address));
  }

  /** @param isJoining - whether this is the first view, which is taken as a whole at once */
  private ask(address: string, start: number, isJoining: boolean): void {
    const { context, membership, calls } = this.parts;
    const self = membership.self.get();
    const request: SyncRequest = {
      kind: 'sync',
      generation: this.parts.getGeneration(),
      self,
      start,
      buckets: membership.table.getBucketHashes(self),
    };
    calls.call(address, request, context.options.callTimeout, (answer) => {
      if (answer?.kind === 'sync-page') {
        this.takePage(address, answer, isJoining);
      }
    });
  }

  private takePage(address: string, page: SyncPage, isJoining: boolean): void {
    const { membership } = this.parts;
    page.records.forEach((record) => membership.hearRecord(record, WordFrom.Comparison));
    this.parts.hearNotices(page.notices);
    this.parts.hearGeneration(page.generation, address);
    if (isJoining && page.next >= 0) {
      this.ask(address, page.next, true);
    } else {
      this.resumeAt = Math.max(0, page.next);
    }
  }

  private getBucketRecords(bucket: number): MemberRecord[] {
    const { table, self } = this.parts.membership;
    const records = table.getBucketRecords(bucket);
    return getBucket(self.get().id) === bucket ? [...records, self.get()] : records;
  }

  /** Addresses of the running members. */
  private getRunning(): string[] {
    return [...this.parts.membership.table.values()]
      .filter(({ record }) => isRunning(record.state))
      .map(({ record }) => getMeshAddress(record));
  }

  /**
   * Where somebody may be whom this daemon takes for dead or doesn't know. Two parts that declared
   * each other dead never talk again unless somebody tries; one sees two clusters that each go on
   * alone, on one configuration store.
   */
  private getLostAddresses(running: readonly string[]): string[] {
    const { membership, seeds } = this.parts;
    const known = new Set([...running, getMeshAddress(membership.self.get())]);
    const dead = [...membership.table.values()]
      .filter(({ record }) => !isRunning(record.state))
      .map(({ record }) => getMeshAddress(record));
    const lost = new Set([...seeds, ...this.listed, ...dead]);
    return [...lost].filter((address) => !known.has(address));
  }
}
