import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { isLater } from '../follow/StateFollower/ObjectSource.js';
import type { ObjectSource, StorePosition } from '../follow/StateFollower/ObjectSource.js';
import { StateFollower } from '../follow/StateFollower/StateFollower.js';
import type { StateListener } from '../follow/StateFollower/StateFollower.js';
import { getErrorText } from '../observe/getErrorText.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { ReaderSelector } from '../readers/ReaderSelector/ReaderSelector.js';
import { readerOptions } from '../readers/readerOptions.js';
import { SharedObjects } from '../readers/SharedObjects/SharedObjects.js';
import { SharedSource } from '../readers/SharedSource/SharedSource.js';
import type { PeerReader } from '../readers/SharedSource/SharedSource.js';
import { waitAtMost } from './waitAtMost.js';

/** Dependencies of {@link ObjectFollower}. */
export interface ObjectFollowerParts<Item> {
  /** Name of the kind of objects, in log lines and in requests between daemons. */
  dependency: string;
  store: ObjectSource<Item>;
  selector: ReaderSelector;
  readPeer: PeerReader<Item>;
  onObjects: StateListener<Item>['onObjects'];
  /** Called when the objects have been read from a store that came back from an older copy. */
  onRestored: (dependency: string) => void;
  clock: Clock;
  random: Random;
  log: RelayLog;
  /** Maximum long-poll wait of a call while some daemons read the store for others. */
  sharedWait: Milliseconds;
  /** Unique to each run of a daemon. */
  epoch: string;
}

/** Follows the objects of one kind, and shares them with daemons that do not read the store. */
export class ObjectFollower<Item> {
  readonly objects: SharedObjects<Item>;

  private readonly source: SharedSource<Item>;

  private readonly follower: StateFollower<Item>;

  /** Called after the next response. */
  private readonly awaitingRead: (() => void)[] = [];

  constructor(private readonly parts: ObjectFollowerParts<Item>) {
    this.source = new SharedSource(parts);
    this.follower = new StateFollower({
      ...parts,
      source: this.source,
      listener: this.createListener(),
    });
    this.objects = new SharedObjects(
      parts.clock,
      parts.epoch,
      () => (this.isFresh ? this.follower.knownPosition : undefined),
      () => this.age,
    );
  }

  async run(): Promise<void> {
    await this.follower.run();
  }

  /** The position of the last change that this daemon has received. */
  get lastChangePosition(): StorePosition | undefined {
    return this.follower.lastChangePosition;
  }

  /** Time since the known objects were the current ones in the store. */
  get age(): Milliseconds {
    return this.source.age;
  }

  /** Whether the last call to the store or to a reader succeeded. */
  get isConnected(): boolean {
    return this.follower.isConnected;
  }

  /**
   * Records the position of a change that a peer has received. A daemon that reads the store may have to
   * call it again, and one that has no source may have one again.
   */
  recordPeerPosition(position: StorePosition): void {
    const { isConnected, knownPosition } = this.follower;
    if (!isConnected && knownPosition !== undefined && isLater(position, knownPosition)) {
      this.parts.selector.endPauses();
    }
    if (this.isDirect) {
      this.follower.recordPeerPosition(position);
    }
  }

  /**
   * Makes sure that the known objects are recent, by reading them again if necessary.
   *
   * @param timeout - how long the read may take
   * @returns whether they were the current ones in the store at most `maxAge` ago
   */
  async confirm(maxAge: Milliseconds, timeout: Milliseconds): Promise<boolean> {
    if (this.age > maxAge && this.isConnected) {
      const nextRead = new Promise<void>((resolve) => {
        this.awaitingRead.push(resolve);
      });
      this.follower.refresh();
      await waitAtMost(nextRead, this.parts.clock, timeout);
    }
    return this.age <= maxAge;
  }

  setDaemonCount(daemonCount: number): void {
    this.follower.setDaemonCount(daemonCount);
  }

  dispose(): void {
    this.follower.dispose();
  }

  /**
   * Whether the objects are recent enough to be shared. Without the age limit, a reader whose
   * connection to the store hangs would keep reporting that nothing changed, and the other daemons
   * would send requests to replicas that have left.
   */
  private get isFresh(): boolean {
    const { clock, sharedWait } = this.parts;
    const age = clock.now() - this.source.confirmedAt;
    return (
      this.isDirect && this.follower.isConnected && age <= sharedWait + readerOptions.maxStaleness
    );
  }

  private get isDirect(): boolean {
    return this.source.isDirect;
  }

  private createListener(): StateListener<Item> {
    const { dependency, log, onObjects, onRestored } = this.parts;
    return {
      onObjects: (items, revision) => {
        // Shares only stored objects, without those retained after an outage: a daemon that stayed
        // connected has already received their deletion.
        this.objects.update(this.follower.stored);
        onObjects(items, revision);
      },
      onLost: (error) => log({ event: 'dependency-lost', dependency, error: error.message }),
      onReconnected: (after) => log({ event: 'dependency-regained', dependency, after }),
      onEraChanged: (change) => {
        log({ event: 'store-era', dependency, ...change });
        if (change.previous !== undefined) {
          onRestored(dependency);
        }
      },
      onRead: () => this.awaitingRead.splice(0).forEach((resolve) => resolve()),
      onWatchAborted: (silence, known, announced) =>
        log({
          event: 'watch-aborted',
          dependency,
          silence,
          known: known.revision,
          announced: announced.revision,
        }),
      onRetained: (replica, until) =>
        log({ event: 'replica-kept', replica, until, reason: 'the store was unavailable' }),
      onFault: (error) =>
        log({ event: 'fault', step: `follow ${dependency}`, error: getErrorText(error) }),
    };
  }
}
