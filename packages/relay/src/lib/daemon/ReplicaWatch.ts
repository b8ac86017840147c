import type { Clock, Random } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../config/RelayConfiguration.js';
import type { PlacementMessage } from '../decide/messages.js';
import { CacheFollower } from '../follow/CacheFollower/CacheFollower.js';
import type { CacheSource } from '../follow/CacheFollower/CacheFollower.js';
import { getErrorText } from '../observe/getErrorText.js';
import type { RelayLog } from '../observe/RelayEvent.js';

/** Dependencies of {@link ReplicaWatch}. */
export interface ReplicaWatchParts {
  clock: Clock;
  random: Random;
  log: RelayLog;
  caches: CacheSource;
  dispatch: (message: PlacementMessage) => void;
}

/** Logs changes of the replica list, and follows the caches of engines. */
export class ReplicaWatch {
  private replicas = new Map<string, RelayReplica>();

  /** Maximum number of cache event listeners per engine, by service. */
  private cacheListenerLimits = new Map<string, number>();

  /** Number of daemons; undefined until it is known. */
  private daemonCount: number | undefined;

  /** Engines that this daemon is the placer of; undefined if each daemon places on all engines. */
  private selectedEngines: ReadonlySet<string> | undefined;

  private readonly followers = new Map<string, CacheFollower>();

  constructor(private readonly parts: ReplicaWatchParts) {}

  setServices(services: readonly RelayService[]): void {
    this.cacheListenerLimits = new Map(
      services.flatMap(({ name, engine }): [string, number][] =>
        engine === undefined ? [] : [[name, engine.cacheListeners]],
      ),
    );
    this.updateFollowers();
  }

  setDaemonCount(daemonCount: number): void {
    if (daemonCount !== this.daemonCount) {
      this.daemonCount = daemonCount;
      this.updateFollowers();
    }
  }

  /** Sets the engines whose caches are needed; undefined for all. */
  setFollowedEngines(selectedEngines: ReadonlySet<string> | undefined): void {
    this.selectedEngines = selectedEngines;
    this.updateFollowers();
  }

  setReplicas(replicas: readonly RelayReplica[], revision: number): void {
    const listed = new Map(replicas.map((replica) => [replica.id, replica]));
    this.logChanges(listed, revision);
    this.replicas = listed;
    this.updateFollowers();
  }

  /** Number of engines whose caches are followed. */
  get followedCount(): number {
    return this.followers.size;
  }

  dispose(): void {
    this.followers.forEach((follower) => follower.dispose());
    this.followers.clear();
  }

  private logChanges(listed: ReadonlyMap<string, RelayReplica>, revision: number): void {
    const { log } = this.parts;
    listed.forEach(({ id, service, softwareVersion, address, isDraining }) => {
      const previous = this.replicas.get(id);
      if (previous === undefined) {
        log({
          event: 'replica-added',
          replica: id,
          service,
          softwareVersion,
          address,
          revision,
        });
      }
      if (isDraining && previous?.isDraining !== true) {
        log({ event: 'replica-draining', replica: id, service, revision });
      }
    });
    this.replicas.forEach(({ id, service }) => {
      if (!listed.has(id)) {
        log({ event: 'replica-removed', replica: id, service, revision });
      }
    });
  }

  private updateFollowers(): void {
    this.followers.forEach((follower, id) => {
      const replica = this.replicas.get(id);
      if (replica === undefined || !this.shouldFollow(replica)) {
        follower.dispose();
        this.followers.delete(id);
        this.parts.dispatch({ kind: 'cache-lost', replica: id });
      }
    });
    this.replicas.forEach((replica) => {
      if (this.shouldFollow(replica) && !this.followers.has(replica.id)) {
        this.followCache(replica);
      }
    });
  }

  /**
   * Whether to read the engine's cache events. If an engine accepts fewer listeners than there are
   * daemons, most calls would be refused and retried: 74 daemons made 1,300 calls per second to 63
   * engines that served 460 requests per second. In this case only the engine's placers listen.
   */
  private shouldFollow({ id, service }: RelayReplica): boolean {
    const maxListeners = this.cacheListenerLimits.get(service) ?? 0;
    if (this.selectedEngines !== undefined) {
      return maxListeners > 0 && this.selectedEngines.has(id);
    }
    return this.daemonCount !== undefined && this.daemonCount <= maxListeners;
  }

  private followCache(replica: RelayReplica): void {
    const { log, dispatch, caches: source, clock, random } = this.parts;
    const { id } = replica;
    const follower = new CacheFollower({
      source,
      replica,
      clock,
      random,
      listener: {
        onChanges: (changes) => dispatch({ kind: 'cache-changed', replica: id, changes }),
        onListed: (changes, reason) => {
          log({ event: 'cache-listed', replica: id, parts: changes.length, reason });
          dispatch({ kind: 'cache-listed', replica: id, changes });
        },
        onLost: () => dispatch({ kind: 'cache-lost', replica: id }),
        onFailed: ({ message }) =>
          log({ event: 'dependency-lost', dependency: `cache of ${id}`, error: message }),
        onFault: (error) =>
          log({ event: 'fault', step: `follow the cache of ${id}`, error: getErrorText(error) }),
      },
    });
    this.followers.set(id, follower);
    follower.run().catch((error: unknown) => {
      log({ event: 'fault', step: `follow the cache of ${id}`, error: String(error) });
    });
  }
}
