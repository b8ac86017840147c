import type { Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { addJitter, pickRandom } from '../CoreContext.js';
import { getMeshAddress, isRunning } from '../Member.js';
import type { MemberRecord } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import { RecordSource } from '../Membership/Membership.js';
import { BUCKET_COUNT, getBucketIndex } from '../MemberTable/MemberTable.js';
import type { PeerResponse, PeerRequest, ReplicaNotice } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { estimateRumourBytes } from '../RumourQueue/estimateRumourBytes.js';

type SyncRequest = Extract<PeerRequest, { kind: 'sync' }>;
type SyncPage = Extract<PeerResponse, { kind: 'sync-page' }>;

/** Milliseconds between syncs while this daemon knows no running peer. */
const JOIN_SYNC_INTERVAL = 1000;

/** On average, one sync in this many goes to an address where a lost peer may be running again. */
const SYNCS_PER_RECONNECT = 4;

const HASH_BYTES = 4;

interface AntiEntropySettings {
  context: CoreContext;
  membership: Membership;
  calls: PeerCalls;
  /** Configured addresses of daemons. */
  seeds: readonly string[];
  getGeneration: () => number;
  getNotices: () => ReplicaNotice[];
  handleNotices: (notices: readonly ReplicaNotice[]) => void;
  /** Handles the active generation of the peer at an address. */
  handleGeneration: (generation: number, address: string) => void;
}

function getRecordBytes(record: MemberRecord): number {
  return estimateRumourBytes({ kind: 'member', record });
}

/**
 * Periodically compares the whole view with that of another daemon. This repairs what rumours
 * missed, gives a new daemon its first view, and rejoins the sides of a partition that declared
 * each other dead.
 */
export class AntiEntropy {
  private timer: Timer | undefined;

  /** Addresses of the daemons on the platform's instance list. */
  private listedAddresses: readonly string[] = [];

  /** The bucket at which the last sync reached its size limit, to resume from. */
  private resumeBucket = 0;

  constructor(private readonly settings: AntiEntropySettings) {}

  start(): void {
    this.syncWithRandomPeer();
    this.scheduleSync();
  }

  setListedAddresses(addresses: readonly string[]): void {
    this.listedAddresses = addresses;
  }

  /** Starts a sync with the daemon at an address. */
  syncWith(address: string): void {
    this.settings.context.counters.syncs += 1;
    this.requestPage(address, this.resumeBucket, this.getRunningAddresses().length === 0);
  }

  /** Handles the sync of a peer: returns the records of the buckets that differ. */
  handleSyncRequest(request: SyncRequest): SyncPage {
    const { context, membership } = this.settings;
    membership.handleRecord(request.sender, RecordSource.Rumour);
    const hashes = membership.table.getBucketHashes(membership.self.get());
    const records: MemberRecord[] = [];
    let bytes = 0;
    let bucket = request.startBucket;
    for (; bucket < BUCKET_COUNT && bytes < context.options.maxSyncPageBytes; bucket += 1) {
      const offset = bucket * HASH_BYTES;
      const comparison = Buffer.compare(
        hashes.subarray(offset, offset + HASH_BYTES),
        request.bucketHashes.subarray(offset, offset + HASH_BYTES),
      );
      if (comparison !== 0) {
        const bucketRecords = this.getBucketRecords(bucket);
        records.push(...bucketRecords);
        bytes += bucketRecords.reduce((sum, record) => sum + getRecordBytes(record), 0);
      }
    }
    return {
      kind: 'sync-page',
      generation: this.settings.getGeneration(),
      records,
      notices: this.settings.getNotices(),
      nextBucket: bucket < BUCKET_COUNT ? bucket : -1,
    };
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private scheduleSync(): void {
    const { context } = this.settings;
    const { syncInterval } = context.options;
    const interval = this.getRunningAddresses().length === 0 ? JOIN_SYNC_INTERVAL : syncInterval;
    this.timer = context.clock.setTimer(addJitter(context, interval), () => {
      this.settings.membership.evictTombstones();
      this.syncWithRandomPeer();
      this.scheduleSync();
    });
  }

  private syncWithRandomPeer(): void {
    const { context } = this.settings;
    const runningAddresses = this.getRunningAddresses();
    const lostAddresses = this.getLostAddresses(runningAddresses);
    const shouldTryLost =
      runningAddresses.length === 0 || context.random.integer(SYNCS_PER_RECONNECT) === 0;
    const candidates = shouldTryLost && lostAddresses.length > 0 ? lostAddresses : runningAddresses;
    pickRandom(context, candidates, 1).forEach((address) => this.syncWith(address));
  }

  /** @param isJoining - whether this is the first view, whose pages are all fetched immediately */
  private requestPage(address: string, startBucket: number, isJoining: boolean): void {
    const { context, membership, calls } = this.settings;
    const self = membership.self.get();
    const request: SyncRequest = {
      kind: 'sync',
      generation: this.settings.getGeneration(),
      sender: self,
      startBucket,
      bucketHashes: membership.table.getBucketHashes(self),
    };
    calls.call(address, request, context.options.callTimeout, (response) => {
      if (response?.kind === 'sync-page') {
        this.handlePage(address, response, isJoining);
      }
    });
  }

  private handlePage(address: string, page: SyncPage, isJoining: boolean): void {
    const { membership } = this.settings;
    page.records.forEach((record) => membership.handleRecord(record, RecordSource.AntiEntropy));
    this.settings.handleNotices(page.notices);
    this.settings.handleGeneration(page.generation, address);
    if (isJoining && page.nextBucket >= 0) {
      this.requestPage(address, page.nextBucket, true);
    } else {
      this.resumeBucket = Math.max(0, page.nextBucket);
    }
  }

  private getBucketRecords(bucket: number): MemberRecord[] {
    const { table, self } = this.settings.membership;
    const records = table.getBucketRecords(bucket);
    return getBucketIndex(self.get().id) === bucket ? [...records, self.get()] : records;
  }

  private getRunningAddresses(): string[] {
    return [...this.settings.membership.table.values()]
      .filter(({ record }) => isRunning(record.state))
      .map(({ record }) => getMeshAddress(record));
  }

  /**
   * Addresses at which a daemon may run that this one considers dead or doesn't know. The sides of
   * a partition that declared each other dead would otherwise never contact each other again, and
   * continue as two separate clusters on one configuration store.
   */
  private getLostAddresses(runningAddresses: readonly string[]): string[] {
    const { membership, seeds } = this.settings;
    const known = new Set([...runningAddresses, getMeshAddress(membership.self.get())]);
    const dead = [...membership.table.values()]
      .filter(({ record }) => !isRunning(record.state))
      .map(({ record }) => getMeshAddress(record));
    const lost = new Set([...seeds, ...this.listedAddresses, ...dead]);
    return [...lost].filter((address) => !known.has(address));
  }
}
