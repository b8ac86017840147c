import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import { StateFollower } from '../follow/StateFollower/StateFollower.js';
import type { FollowListener } from '../follow/StateFollower/StateFollower.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { ReaderSelector } from '../readers/ReaderSelector/ReaderSelector.js';
import { readerOptions } from '../readers/readerOptions.js';
import { SharedObjects } from '../readers/SharedObjects/SharedObjects.js';
import { SharedSource } from '../readers/SharedSource/SharedSource.js';
import type { PeerReader } from '../readers/SharedSource/SharedSource.js';

/** What a followed kind is made of. */
export interface FollowedKindParts<Item> {
  /** Names the kind in log lines and between daemons. */
  dependency: string;
  store: ObjectSource<Item>;
  choice: ReaderSelector;
  ask: PeerReader<Item>;
  onItems: FollowListener<Item>['onObjects'];
  clock: Clock;
  random: Random;
  log: RelayLog;
  /** The longest that a call waits where some daemons read for others. */
  sharedWait: Milliseconds;
  /** Differs between two lives of a daemon. */
  epoch: string;
}

/** The objects of one kind: followed here, and told to daemons that don't read the store. */
export class FollowedKind<Item> {
  readonly objects: SharedObjects<Item>;

  private readonly source: SharedSource<Item>;

  private readonly follower: StateFollower<Item>;

  constructor(private readonly parts: FollowedKindParts<Item>) {
    this.source = new SharedSource(parts);
    this.follower = new StateFollower({
      ...parts,
      source: this.source,
      listener: this.createListener(),
    });
    this.objects = new SharedObjects(parts.clock, parts.epoch, () =>
      this.isFresh ? this.follower.knownRevision : undefined,
    );
  }

  async run(): Promise<void> {
    await this.follower.run();
  }

  /** The revision of the last change that the store told this daemon of. */
  get lastChange(): number | undefined {
    return this.isDirect ? this.follower.lastChangeRevision : undefined;
  }

  /** Whether the last call was answered, by the store or by a reader. */
  get isReached(): boolean {
    return this.follower.isConnected;
  }

  /** Another daemon has heard of a change; a daemon that asks a reader leaves that to the reader. */
  noteChangeElsewhere(revision: number): void {
    if (this.isDirect) {
      this.follower.recordPeerRevision(revision);
    }
  }

  setDaemons(daemons: number): void {
    this.follower.setDaemonCount(daemons);
  }

  dispose(): void {
    this.follower.dispose();
  }

  /**
   * What goes wrong without a bound of its age: a reader whose connection to the store went silent
   * tells the others all along that nothing has changed, and these send requests to replicas that left.
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

  private createListener(): FollowListener<Item> {
    const { dependency, log, onItems } = this.parts;
    return {
      onObjects: (items, revision) => {
        // A daemon that was not cut off with this one knows better what was deleted meanwhile.
        this.objects.update(this.follower.stored);
        onItems(items, revision);
      },
      onLost: (error) => log({ event: 'dependency-lost', dependency, error: error.message }),
      onReconnected: (after) => log({ event: 'dependency-regained', dependency, after }),
      onRetained: (replica, until) =>
        log({ event: 'replica-kept', replica, until, reason: 'the store was away' }),
    };
  }
}
