import { Pool } from 'undici';
import type { Replica } from '@apricotrill/model';
import type { Dispatcher } from 'undici';
import { defaultRouterOptions } from '../options.js';
import { ReplicaConnection } from './ReplicaConnection.js';

function getOrigin(replica: Replica): string {
  return `http://${replica.host}:${replica.port}`;
}

/** Keeps undici from retrying requests or timing them out: the router decides both. */
const CLIENT_OPTIONS = {
  headersTimeout: 0,
  bodyTimeout: 0,
  pipelining: 1,
  keepAliveTimeout: defaultRouterOptions.upstreamIdleTimeout,
};

/**
 * Owns the connections to every replica.
 *
 * An open connection can go silent permanently while new ones work. This is detected when an attempt
 * on the connection times out. The idle connections of the same pool use the same network path and
 * are suspect too, so {@link ReplicaConnections.replacePool} replaces the whole pool. The replica
 * itself remains in use: the next request opens a new connection.
 *
 * @internal
 */
export class ReplicaConnections {
  private readonly pools = new Map<string, Pool>();

  private readonly closingPools = new Set<Dispatcher>();

  private readonly replacedPools = new WeakSet<Dispatcher>();

  /** Returns the shared connection pool of a replica, for repeatable requests. */
  getShared(replica: Replica): Dispatcher {
    const origin = getOrigin(replica);
    const existing = this.pools.get(origin);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(origin, {
      ...CLIENT_OPTIONS,
      factory: (target) => new ReplicaConnection(target, CLIENT_OPTIONS),
    });
    this.pools.set(origin, pool);
    return pool;
  }

  /**
   * Creates a dedicated connection for one non-repeatable request. It can't have gone silent while
   * idle, and a failure to open it proves that the request was not run.
   */
  // eslint-disable-next-line class-methods-use-this
  createDedicated(replica: Replica): Dispatcher {
    return new ReplicaConnection(getOrigin(replica), CLIENT_OPTIONS);
  }

  /**
   * Replaces the pool of a replica after one of its connections went silent; responses in flight on
   * the old connections continue. When a network path is lost, several connections go silent at once:
   * reports about an old pool don't affect the pool that has already replaced it.
   *
   * @param replica - the replica whose connections are suspect
   * @param suspect - the pool or connection that the attempt used
   */
  replacePool(replica: Replica, suspect: Dispatcher): void {
    const origin = getOrigin(replica);
    const pool = this.pools.get(origin);
    if (pool === undefined || this.replacedPools.has(suspect)) {
      return;
    }
    this.replacedPools.add(pool);
    this.pools.delete(origin);
    this.closeWhenIdle(pool);
  }

  /** Closes the pools of replicas not in the given list, once they are idle. */
  retain(replicas: readonly Replica[]): void {
    const origins = new Set(replicas.map(getOrigin));
    [...this.pools].forEach(([origin, pool]) => {
      if (!origins.has(origin)) {
        this.pools.delete(origin);
        this.closeWhenIdle(pool);
      }
    });
  }

  async dispose(): Promise<void> {
    const pools = [...this.pools.values(), ...this.closingPools];
    this.pools.clear();
    this.closingPools.clear();
    await Promise.allSettled(pools.map((pool) => pool.destroy()));
  }

  /** Closes a pool after its requests in flight have ended. */
  private closeWhenIdle(pool: Pool): void {
    this.closingPools.add(pool);
    const remove = () => this.closingPools.delete(pool);
    pool.close().then(remove, remove);
  }
}
