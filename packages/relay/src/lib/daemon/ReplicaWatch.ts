import type { Clock, Random } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../config/RelayConfiguration.js';
import type { PlacementMessage } from '../decide/messages.js';
import { CacheFollower } from '../follow/CacheFollower/CacheFollower.js';
import type { CacheSource } from '../follow/CacheFollower/CacheFollower.js';
import type { RelayLog } from '../observe/RelayEvent.js';

/** What the watch is made of. */
export interface ReplicaWatchParts {
  clock: Clock;
  random: Random;
  log: RelayLog;
  caches: CacheSource;
  tell: (message: PlacementMessage) => void;
}

/** Logs replicas that come and go, and follows the caches of those that are engines. */
export class ReplicaWatch {
  private replicas = new Map<string, RelayReplica>();

  /** Services of engines, and how many listeners each of these takes. */
  private engines = new Map<string, number>();

  /** How many daemons there are; undefined until that is known. */
  private daemons: number | undefined;

  /** Engines for which this daemon chooses; undefined where each daemon does for all. */
  private useful: ReadonlySet<string> | undefined;

  private readonly followers = new Map<string, CacheFollower>();

  constructor(private readonly parts: ReplicaWatchParts) {}

  setServices(services: readonly RelayService[]): void {
    this.engines = new Map(
      services.flatMap(({ name, engine }): [string, number][] =>
        engine === undefined ? [] : [[name, engine.cacheListeners]],
      ),
    );
    this.followCaches();
  }

  setDaemons(daemons: number): void {
    if (daemons !== this.daemons) {
      this.daemons = daemons;
      this.followCaches();
    }
  }

  /** Takes over the engines whose caches are of use; undefined for all. */
  setFollowed(engines: ReadonlySet<string> | undefined): void {
    this.useful = engines;
    this.followCaches();
  }

  setReplicas(replicas: readonly RelayReplica[], revision: number): void {
    const listed = new Map(replicas.map((replica) => [replica.id, replica]));
    this.logChanges(listed, revision);
    this.replicas = listed;
    this.followCaches();
  }

  /** Engines whose caches are followed. */
  get followed(): number {
    return this.followers.size;
  }

  dispose(): void {
    this.followers.forEach((follower) => follower.dispose());
    this.followers.clear();
  }

  private logChanges(listed: ReadonlyMap<string, RelayReplica>, revision: number): void {
    const { log } = this.parts;
    listed.forEach(({ id, service, address, isDraining }) => {
      const known = this.replicas.get(id);
      if (known === undefined) {
        log({ event: 'replica-added', replica: id, service, address, revision });
      }
      if (isDraining && known?.isDraining !== true) {
        log({ event: 'replica-draining', replica: id, service, revision });
      }
    });
    this.replicas.forEach(({ id, service }) => {
      if (!listed.has(id)) {
        log({ event: 'replica-removed', replica: id, service, revision });
      }
    });
  }

  private followCaches(): void {
    this.followers.forEach((follower, id) => {
      const replica = this.replicas.get(id);
      if (replica === undefined || !this.isFollowed(replica)) {
        follower.dispose();
        this.followers.delete(id);
        this.parts.tell({ kind: 'cache-lost', replica: id });
      }
    });
    this.replicas.forEach((replica) => {
      if (this.isFollowed(replica) && !this.followers.has(replica.id)) {
        this.followCache(replica);
      }
    });
  }

  /**
   * Whether the engine's cache events are read. Where an engine takes fewer listeners than there are
   * daemons, most would ask in vain, again and again: 74 daemons made 1,300 calls a second to 63
   * engines beside 460 requests. There those listen that choose for the engine.
   */
  private isFollowed({ id, service }: RelayReplica): boolean {
    const listeners = this.engines.get(service) ?? 0;
    if (this.useful !== undefined) {
      return listeners > 0 && this.useful.has(id);
    }
    return this.daemons !== undefined && this.daemons <= listeners;
  }

  private followCache(replica: RelayReplica): void {
    const { log, tell, caches: source, clock, random } = this.parts;
    const { id } = replica;
    const follower = new CacheFollower({
      source,
      replica,
      clock,
      random,
      listener: {
        onChanges: (changes) => tell({ kind: 'cache-changed', replica: id, changes }),
        onListed: (changes, reason) => {
          log({ event: 'cache-listed', replica: id, parts: changes.length, reason });
          tell({ kind: 'cache-listed', replica: id, changes });
        },
        onLost: () => tell({ kind: 'cache-lost', replica: id }),
        onFailed: ({ message }) =>
          log({ event: 'dependency-lost', dependency: `cache of ${id}`, error: message }),
      },
    });
    this.followers.set(id, follower);
    follower.run().catch((error: unknown) => {
      log({ event: 'fault', step: `follow the cache of ${id}`, error: String(error) });
    });
  }
}
