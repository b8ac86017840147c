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

  private engines = new Set<string>();

  private readonly followers = new Map<string, CacheFollower>();

  constructor(private readonly parts: ReplicaWatchParts) {}

  setServices(services: readonly RelayService[]): void {
    const engines = services.filter(({ engine }) => engine !== undefined);
    this.engines = new Set(engines.map(({ name }) => name));
    this.followCaches();
  }

  setReplicas(replicas: readonly RelayReplica[], revision: number): void {
    const listed = new Map(replicas.map((replica) => [replica.id, replica]));
    this.logChanges(listed, revision);
    this.replicas = listed;
    this.followCaches();
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
      if (replica === undefined || !this.engines.has(replica.service)) {
        follower.dispose();
        this.followers.delete(id);
      }
    });
    this.replicas.forEach((replica) => {
      if (this.engines.has(replica.service) && !this.followers.has(replica.id)) {
        this.followCache(replica);
      }
    });
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
