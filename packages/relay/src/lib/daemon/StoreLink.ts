import { getHashHex } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { ObjectSource, StorePosition } from '../follow/StateFollower/ObjectSource.js';
import type { StateListener } from '../follow/StateFollower/StateFollower.js';
import { HttpClient } from '../http/HttpClient.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { PeerServer } from '../peers/PeerServer/PeerServer.js';
import type { PeerEntry } from '../peers/PeerDirectory.js';
import { createPeerReader } from '../readers/createPeerReader.js';
import { OBJECTS_PATH, ObjectServer } from '../readers/ObjectServer/ObjectServer.js';
import { ReaderSelector } from '../readers/ReaderSelector/ReaderSelector.js';
import { readerOptions } from '../readers/readerOptions.js';
import { ObjectFollower } from './ObjectFollower.js';

/** Dependencies of {@link StoreLink}. */
export interface StoreLinkParts {
  clock: Clock;
  random: Random;
  log: RelayLog;
  self: PeerEntry;
  peerServer: PeerServer;
  /** Maximum time until this daemon has applied a change in the store. */
  changeBound: Milliseconds;
  /** Called when a kind of objects has been read from a store that came back from an older copy. */
  onRestored: (dependency: string) => void;
}

/**
 * Follows several kinds of objects in the store, directly or through daemons that read it for others,
 * and tracks which of them are reachable.
 */
export class StoreLink {
  private readonly followers = new Map<string, ObjectFollower<unknown>>();

  private readonly httpClient = new HttpClient();

  private readonly readerSelector: ReaderSelector;

  private readonly objectServer: ObjectServer;

  private readonly epoch: string;

  /** Maximum long-poll wait of a call while some daemons read the store for others. */
  private readonly sharedWait: Milliseconds;

  constructor(private readonly parts: StoreLinkParts) {
    const { clock, log, self, changeBound } = parts;
    this.sharedWait = Math.round(changeBound * readerOptions.sharedWaitRatio);
    this.readerSelector = new ReaderSelector(parts);
    this.objectServer = new ObjectServer({
      log,
      maxWait: this.sharedWait,
      onRequest: () => this.readerSelector.recordReaderRequest(),
    });
    parts.peerServer.addHandler(OBJECTS_PATH, this.objectServer.handler);
    this.epoch = getHashHex(`${self.id} ${clock.now()}`);
  }

  follow<Item>(
    dependency: string,
    store: ObjectSource<Item>,
    onObjects: StateListener<Item>['onObjects'],
  ): void {
    const { readerSelector, epoch, parts, sharedWait } = this;
    const readPeer = createPeerReader<Item>(this.httpClient, dependency);
    const follower = new ObjectFollower({
      ...parts,
      dependency,
      store,
      selector: readerSelector,
      readPeer,
      onObjects,
      epoch,
      sharedWait,
    });
    this.objectServer.add(dependency, follower.objects);
    this.followers.set(dependency, follower);
    follower.run().catch((error: unknown) => {
      parts.log({ event: 'fault', step: `follow ${dependency}`, error: String(error) });
    });
  }

  /** The position of the last change that this daemon has received, by kind; sent to other daemons. */
  get lastChangePositions(): Record<string, StorePosition> {
    const positions: Record<string, StorePosition> = {};
    this.followers.forEach(({ lastChangePosition }, dependency) => {
      if (lastChangePosition !== undefined) {
        positions[dependency] = lastChangePosition;
      }
    });
    return positions;
  }

  /** Records the positions of the last changes that a peer has received. */
  recordPeerPositions(positions: Readonly<Record<string, StorePosition>>): void {
    Object.entries(positions).forEach(([dependency, position]) =>
      this.followers.get(dependency)?.recordPeerPosition(position),
    );
  }

  /** Sets the daemons that are alive, including this one. */
  setFleet(daemons: readonly PeerEntry[]): void {
    this.readerSelector.setDaemons(daemons);
  }

  setDaemonCount(daemonCount: number): void {
    this.followers.forEach((follower) => follower.setDaemonCount(daemonCount));
  }

  /** Whether this daemon reads the store for others. */
  get isReader(): boolean {
    return this.readerSelector.isReader;
  }

  /** Time since the known objects of a kind were the current ones in the store. */
  getAge(dependency: string): Milliseconds {
    return this.followers.get(dependency)?.age ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Makes sure that the known objects of a kind are recent enough to reject a request for what they don't
   * contain.
   */
  async confirm(dependency: string): Promise<boolean> {
    const { maxRefusalAgeRatio, confirmTimeout } = readerOptions;
    const maxAge = this.parts.changeBound * maxRefusalAgeRatio;
    return (await this.followers.get(dependency)?.confirm(maxAge, confirmTimeout)) ?? false;
  }

  /** For each kind of objects, the time since the known ones were the current ones in the store. */
  get ages(): [string, Milliseconds][] {
    return [...this.followers].map(([dependency, { age }]) => [dependency, age]);
  }

  /** For each kind of objects, 1 if the last call succeeded, else 0. */
  get connectionStates(): [string, number][] {
    return [...this.followers].map(([dependency, { isConnected }]) => [
      dependency,
      Number(isConnected),
    ]);
  }

  async dispose(): Promise<void> {
    this.followers.forEach((follower) => follower.dispose());
    this.objectServer.dispose();
    await this.httpClient.dispose();
  }
}
