import { getHashHex } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { FollowListener } from '../follow/StateFollower/StateFollower.js';
import { HttpClient } from '../http/HttpClient.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { PeerEntry } from '../peers/PeerDirectory.js';
import { createPeerReader } from '../readers/createPeerReader.js';
import { ObjectServer } from '../readers/ObjectServer/ObjectServer.js';
import { ReaderSelector } from '../readers/ReaderSelector/ReaderSelector.js';
import { readerOptions } from '../readers/readerOptions.js';
import { FollowedKind } from './FollowedKind.js';

/** What the link is made of. */
export interface StoreLinkParts {
  clock: Clock;
  random: Random;
  log: RelayLog;
  self: PeerEntry;
  /** How soon a change in the store must be in force here. */
  changeBound: Milliseconds;
}

/**
 * Follows kinds of objects in the store, by itself or through daemons that read it for others, and
 * knows which of them are answered for.
 */
export class StoreLink {
  private readonly kinds = new Map<string, FollowedKind<unknown>>();

  private readonly caller = new HttpClient();

  private readonly choice: ReaderSelector;

  private readonly server: ObjectServer;

  private readonly epoch: string;

  /** The longest that a call waits where some daemons read for others. */
  private readonly sharedWait: Milliseconds;

  constructor(private readonly parts: StoreLinkParts) {
    const { clock, log, self, changeBound } = parts;
    this.sharedWait = Math.round(changeBound * readerOptions.waitShare);
    this.choice = new ReaderSelector(parts);
    this.server = new ObjectServer({
      log,
      maxWait: this.sharedWait,
      onRequest: () => this.choice.recordReaderRequest(),
    });
    this.epoch = getHashHex(`${self.id} ${clock.now()}`);
  }

  /** Opens the port at which other daemons ask. */
  async listen(host: string, port: number): Promise<void> {
    await this.server.listen(host, port);
  }

  follow<Item>(
    dependency: string,
    store: ObjectSource<Item>,
    onItems: FollowListener<Item>['onObjects'],
  ): void {
    const { choice, epoch, parts, sharedWait } = this;
    const ask = createPeerReader<Item>(this.caller, dependency);
    const kind = new FollowedKind({
      ...parts,
      dependency,
      store,
      choice,
      ask,
      onItems,
      epoch,
      sharedWait,
    });
    this.server.add(dependency, kind.objects);
    this.kinds.set(dependency, kind);
    kind.run().catch((error: unknown) => {
      parts.log({ event: 'fault', step: `follow ${dependency}`, error: String(error) });
    });
  }

  /** The revisions of the last changes that the store told this daemon of, for other daemons. */
  get lastChanges(): Record<string, number> {
    const changes: Record<string, number> = {};
    this.kinds.forEach(({ lastChange }, dependency) => {
      if (lastChange !== undefined) {
        changes[dependency] = lastChange;
      }
    });
    return changes;
  }

  /** What another daemon has heard of the store. */
  noteChangesElsewhere(changes: Readonly<Record<string, number>>): void {
    Object.entries(changes).forEach(([dependency, revision]) =>
      this.kinds.get(dependency)?.noteChangeElsewhere(revision),
    );
  }

  /** Takes over which daemons are heard, this one included. */
  setFleet(daemons: readonly PeerEntry[]): void {
    this.choice.setDaemons(daemons);
  }

  setDaemons(daemons: number): void {
    this.kinds.forEach((kind) => kind.setDaemons(daemons));
  }

  /** Whether this daemon reads the store for others. */
  get isReader(): boolean {
    return this.choice.isReader;
  }

  /** 1 for each kind of objects whose last call was answered, else 0. */
  get states(): [string, number][] {
    return [...this.kinds].map(([dependency, { isReached }]) => [dependency, Number(isReached)]);
  }

  async dispose(): Promise<void> {
    this.kinds.forEach((kind) => kind.dispose());
    this.server.dispose();
    await this.caller.dispose();
  }
}
